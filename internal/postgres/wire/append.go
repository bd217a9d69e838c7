package wire

import "encoding/binary"

// begin appends the header of a message, and returns where its length stands. The
// length is set by end.
func begin(b []byte, kind byte) (message []byte, lengthAt int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

// end sets the length of the message that ends b.
func end(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

// appendText appends a string and its end.
func appendText[T string | []byte](b []byte, s T) []byte { return append(append(b, s...), 0) }

// AppendStartup appends a startup message.
func AppendStartup(b []byte, user, database string) []byte {
	lengthAt := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), ProtocolVersion3)
	for _, text := range []string{"user", user, "database", database} {
		b = appendText(b, text)
	}
	return end(append(b, 0), lengthAt)
}

// AppendQuery appends a Query whose text is the concatenation of parts.
func AppendQuery(b []byte, parts ...[]byte) []byte {
	b, lengthAt := begin(b, Query)
	for _, part := range parts {
		b = append(b, part...)
	}
	return end(append(b, 0), lengthAt)
}

// AppendAuthenticationOk appends an AuthenticationOk.
func AppendAuthenticationOk(b []byte) []byte {
	b, lengthAt := begin(b, Authentication)
	return end(append(b, 0, 0, 0, 0), lengthAt)
}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, lengthAt := begin(b, ParameterStatus)
	return end(appendText(appendText(b, name), value), lengthAt)
}

// AppendBackendKeyData appends a BackendKeyData.
func AppendBackendKeyData(b []byte, process, secret uint32) []byte {
	b, lengthAt := begin(b, BackendKeyData)
	b = binary.BigEndian.AppendUint32(b, process)
	return end(binary.BigEndian.AppendUint32(b, secret), lengthAt)
}

// AppendReadyForQuery appends a ReadyForQuery outside a transaction.
func AppendReadyForQuery(b []byte) []byte {
	b, lengthAt := begin(b, ReadyForQuery)
	return end(append(b, 'I'), lengthAt)
}

// AppendEmptyQueryResponse appends an EmptyQueryResponse.
func AppendEmptyQueryResponse(b []byte) []byte {
	b, lengthAt := begin(b, EmptyQueryResponse)
	return end(b, lengthAt)
}

// AppendErrorResponse appends an ErrorResponse. Empty fields, such as the detail, are left
// out.
func AppendErrorResponse(b []byte, severity, code, message, detail string) []byte {
	b, lengthAt := begin(b, ErrorResponse)
	for _, field := range [...]struct {
		kind  byte
		value string
	}{
		{'S', severity},
		{'V', severity}, // not localized
		{'C', code},
		{'M', message},
		{'D', detail},
	} {
		if field.value != "" {
			b = appendText(append(b, field.kind), field.value)
		}
	}
	return end(append(b, 0), lengthAt)
}

// AppendRowDescription appends a RowDescription of one column.
func AppendRowDescription(b []byte, column Column) []byte {
	b, lengthAt := begin(b, RowDescription)
	b = appendText(append(b, 0, 1), column.Name)
	b = append(b, 0, 0, 0, 0, 0, 0) // of no table
	b = binary.BigEndian.AppendUint32(b, column.Type)
	b = binary.BigEndian.AppendUint16(b, uint16(column.Size))
	b = append(b, 0xff, 0xff, 0xff, 0xff, 0, 0) // no type modifier
	if column.Binary {
		b[len(b)-1] = 1
	}
	return end(b, lengthAt)
}

// AppendDataRow appends a DataRow of one column.
func AppendDataRow(b, value []byte) []byte {
	b, lengthAt := begin(b, DataRow)
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)))
	return end(append(b, value...), lengthAt)
}

// AppendCommandComplete appends a CommandComplete.
func AppendCommandComplete(b, tag []byte) []byte {
	b, lengthAt := begin(b, CommandComplete)
	return end(appendText(b, tag), lengthAt)
}
