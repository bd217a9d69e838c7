package wire

import "encoding/binary"

// beginMessage appends the header of a message and returns the offset of its length
// field, which endMessage sets.
func beginMessage(b []byte, kind byte) (message []byte, lengthAt int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

// endMessage sets the length field at offset lengthAt of the message at the end of b.
func endMessage(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

// appendString appends a string and its terminating zero byte.
func appendString[T string | []byte](b []byte, s T) []byte { return append(append(b, s...), 0) }

// AppendStartup appends a StartupMessage.
func AppendStartup(b []byte, user, database string) []byte {
	lengthAt := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), ProtocolVersion3)
	for _, text := range []string{"user", user, "database", database} {
		b = appendString(b, text)
	}
	return endMessage(append(b, 0), lengthAt)
}

// AppendQuery appends a Query whose text is the concatenation of parts.
func AppendQuery(b []byte, parts ...[]byte) []byte {
	b, lengthAt := beginMessage(b, Query)
	for _, part := range parts {
		b = append(b, part...)
	}
	return endMessage(append(b, 0), lengthAt)
}

// AppendAuthenticationOk appends an AuthenticationOk.
func AppendAuthenticationOk(b []byte) []byte {
	b, lengthAt := beginMessage(b, Authentication)
	return endMessage(append(b, 0, 0, 0, 0), lengthAt)
}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, lengthAt := beginMessage(b, ParameterStatus)
	return endMessage(appendString(appendString(b, name), value), lengthAt)
}

// AppendBackendKeyData appends a BackendKeyData.
func AppendBackendKeyData(b []byte, process, secret uint32) []byte {
	b, lengthAt := beginMessage(b, BackendKeyData)
	b = binary.BigEndian.AppendUint32(b, process)
	return endMessage(binary.BigEndian.AppendUint32(b, secret), lengthAt)
}

// AppendReadyForQuery appends a ReadyForQuery with the transaction status idle.
func AppendReadyForQuery(b []byte) []byte {
	b, lengthAt := beginMessage(b, ReadyForQuery)
	return endMessage(append(b, 'I'), lengthAt)
}

// AppendEmptyQueryResponse appends an EmptyQueryResponse.
func AppendEmptyQueryResponse(b []byte) []byte {
	b, lengthAt := beginMessage(b, EmptyQueryResponse)
	return endMessage(b, lengthAt)
}

// AppendErrorResponse appends an ErrorResponse. code is an SQLSTATE. Fields with empty
// values are omitted.
func AppendErrorResponse(b []byte, severity, code, message, detail string) []byte {
	b, lengthAt := beginMessage(b, ErrorResponse)
	for _, field := range [...]struct {
		kind  byte
		value string
	}{
		{'S', severity},
		{'V', severity}, // the severity that is never localized
		{'C', code},
		{'M', message},
		{'D', detail},
	} {
		if field.value != "" {
			b = appendString(append(b, field.kind), field.value)
		}
	}
	return endMessage(append(b, 0), lengthAt)
}

// AppendRowDescription appends a RowDescription with one column.
func AppendRowDescription(b []byte, column Column) []byte {
	b, lengthAt := beginMessage(b, RowDescription)
	b = appendString(append(b, 0, 1), column.Name)
	b = append(b, 0, 0, 0, 0, 0, 0) // not a column of a table
	b = binary.BigEndian.AppendUint32(b, column.Type)
	b = binary.BigEndian.AppendUint16(b, uint16(column.Size))
	b = append(b, 0xff, 0xff, 0xff, 0xff, 0, 0) // no type modifier, text format
	if column.Binary {
		b[len(b)-1] = 1
	}
	return endMessage(b, lengthAt)
}

// AppendDataRow appends a DataRow with one column.
func AppendDataRow(b, value []byte) []byte {
	b, lengthAt := beginMessage(b, DataRow)
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)))
	return endMessage(append(b, value...), lengthAt)
}

// AppendCommandComplete appends a CommandComplete with the given command tag.
func AppendCommandComplete(b, tag []byte) []byte {
	b, lengthAt := beginMessage(b, CommandComplete)
	return endMessage(appendString(b, tag), lengthAt)
}
