package edge

import (
	"fmt"

	"lotusbend/internal/edge/intake"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/router"
)

// boundRoute is a route of the settings with its classes.
type boundRoute struct {
	operatorconfig.Route
	write       router.Class
	check       router.Class
	read        router.Class
	intakeIndex int // in the routes of intake, -1 if readings are not accepted
}

// bindRoutes sets e.routes and e.routeByMatch, and returns the routes that accept
// readings for intake.
func (e *Edge) bindRoutes() (readingRoutes []intake.Route, err error) {
	e.routeByMatch = map[string]int{}
	for i, configured := range e.options.Routes {
		bound, err := bindRoute(configured, e.requestRouter)
		if err != nil {
			return nil, fmt.Errorf("edge.routes[%d].%w", i, err)
		}
		if _, duplicate := e.routeByMatch[configured.Match]; duplicate {
			return nil, fmt.Errorf("edge.routes[%d].match: duplicate value %q", i, configured.Match)
		}
		bound.intakeIndex = -1
		if configured.Write != "" {
			bound.intakeIndex = len(readingRoutes)
			readingRoutes = append(readingRoutes, intake.Route{
				IdempotencyWindow: bound.write.IdempotencyWindow,
				Groups:            configured.Groups,
			})
		}
		e.routeByMatch[configured.Match] = len(e.routes)
		e.routes = append(e.routes, bound)
	}
	return readingRoutes, nil
}

// classRole is the purpose for which a route uses a class, with the property that
// the class must have.
type classRole struct {
	key      string // in the settings
	required string // the property, for error messages
	fits     func(router.Class) bool
}

var (
	writeRole = classRole{"write", "writes with an idempotency key", func(c router.Class) bool {
		return c.Write && c.NeedsIdempotencyKey
	}}
	checkRole = classRole{"check", "reads that see all earlier writes", func(c router.Class) bool {
		return c.Fresh
	}}
	readRole = classRole{"read", "reads", func(c router.Class) bool {
		return !c.Write
	}}
)

// bindRoute finds a route's classes and checks that each fits its role.
func bindRoute(configured operatorconfig.Route, requestRouter RequestRouter) (bound boundRoute, err error) {
	bound.Route = configured
	if configured.Write != "" {
		if bound.write, err = writeRole.find(requestRouter, configured.Write); err != nil {
			return bound, err
		}
		if bound.check, err = checkRole.find(requestRouter, configured.Check); err != nil {
			return bound, err
		}
	}
	if configured.Read != "" {
		bound.read, err = readRole.find(requestRouter, configured.Read)
	}
	return bound, err
}

// find returns the class with the given name, or an error if it does not exist
// or does not fit the role.
func (role classRole) find(requestRouter RequestRouter, name string) (router.Class, error) {
	class, ok := requestRouter.Class([]byte(name))
	if !ok {
		return class, fmt.Errorf("%s: class %q does not exist", role.key, name)
	}
	if !role.fits(class) {
		return class, fmt.Errorf("%s: class %q is not a class of %s", role.key, name, role.required)
	}
	return class, nil
}

// routeByIntakeIndex returns the route with the given index in intake's routes,
// or the first route if there is none.
func (e *Edge) routeByIntakeIndex(intakeIndex int) *boundRoute {
	for i := range e.routes {
		if e.routes[i].intakeIndex == intakeIndex {
			return &e.routes[i]
		}
	}
	return &e.routes[0]
}
