package edge

import (
	"fmt"

	"lotusbend/internal/edge/intake"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/router"
)

// route is a route of the settings with its classes.
type boundRoute struct {
	operatorconfig.Route
	write       router.Class
	check       router.Class
	read        router.Class
	intakeIndex int // in the routes of intake, -1 for a route of reads
}

// bindRoutes fills in e.routes and returns those of readings for intake.
func (e *Edge) bindRoutes() (readingRoutes []intake.Route, err error) {
	e.routeByMatch = map[string]int{}
	for i, configured := range e.options.Routes {
		bound, err := bindRoute(configured, e.requestRouter)
		if err != nil {
			return nil, fmt.Errorf("edge.routes[%d].%w", i, err)
		}
		if _, duplicate := e.routeByMatch[configured.Match]; duplicate {
			return nil, fmt.Errorf("edge.routes[%d].match: %q is given twice", i, configured.Match)
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

// classRole is the use of a class by a route and what it requires.
type classRole struct {
	key      string // in the settings
	required string // in words
	fits     func(router.Class) bool
}

var (
	writeRole = classRole{"write", "writes with a key", func(c router.Class) bool {
		return c.Write && c.NeedsIdempotencyKey
	}}
	checkRole = classRole{"check", "reads that see all that was written", func(c router.Class) bool {
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

func (role classRole) find(requestRouter RequestRouter, name string) (router.Class, error) {
	class, ok := requestRouter.Class([]byte(name))
	if !ok {
		return class, fmt.Errorf("%s: there is no class %q", role.key, name)
	}
	if !role.fits(class) {
		return class, fmt.Errorf("%s: class %q is no class of %s", role.key, name, role.required)
	}
	return class, nil
}

// routeOf returns the route with that index in intake's routes.
func (e *Edge) routeByIntakeIndex(intakeIndex int) *boundRoute {
	for i := range e.routes {
		if e.routes[i].intakeIndex == intakeIndex {
			return &e.routes[i]
		}
	}
	return &e.routes[0]
}
