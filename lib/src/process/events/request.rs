//! Events of requests: numbers 2000 to 2999.

use log::Level;

use super::Event;
use super::events;

events! {
    KEY_MISSING = 2000, Debug, "request.key-missing", "A request had no key on a route that needs one.";
    KEY_INVALID = 2001, Debug, "request.key-invalid", "A request had an unknown or withdrawn key.";
    FORBIDDEN = 2002, Debug, "request.forbidden", "An organisation used a route that it may not use.";
    NO_ROUTE = 2003, Debug, "request.no-route", "A request matched no route; check the routes of the configuration.";
    BAD_REQUEST = 2004, Debug, "request.bad-request", "A request was malformed.";
    BODY_TOO_LARGE = 2005, Debug, "request.body-too-large", "A request body was larger than the node accepts.";
    IDEMPOTENCY_KEY_MISSING = 2006, Debug, "request.idempotency-key-missing", "A request that is not idempotent had no Idempotency-Key.";
    IDEMPOTENCY_KEY_REUSED = 2007, Info, "request.idempotency-key-reused", "An Idempotency-Key was used for two different requests.";
    RATE_EXCEEDED = 2008, Debug, "request.rate-exceeded", "An organisation used up its rate and burst over the fleet.";
    OVERLOADED = 2009, Debug, "request.overloaded", "A request was shed because capacity is short.";
    DRAINING = 2010, Debug, "request.draining", "A request came to a node or backend server that is stopping.";
    NO_SERVER = 2011, Warn, "request.no-server", "No backend server of a service is known or reachable; check that its instances run.";
    HOME_UNREACHABLE = 2012, Warn, "request.home-unreachable", "The node that keeps a request's record cannot be reached; look for a cut between zones.";
    NOT_READY = 2013, Info, "request.not-ready", "A request came before the node had a configuration.";
    DEADLINE_EXCEEDED = 2014, Debug, "request.deadline-exceeded", "A request ran out of time.";
    ATTEMPTS_EXHAUSTED = 2015, Debug, "request.attempts-exhausted", "A call tree used all its attempts.";
    TOO_DEEP = 2016, Warn, "request.too-deep", "A call chain was deeper than the system serves; look for a loop of services.";
    HANDLE_UNKNOWN = 2017, Warn, "request.handle-unknown", "A backend server called onward for a request that is not in flight.";
    QUARANTINED = 2018, Warn, "request.quarantined", "A request that crashed several backend servers was refused.";
    BAD_ANSWER = 2019, Warn, "request.bad-answer", "A backend server gave a short, broken or crossed answer.";
    OUTCOME_UNKNOWN = 2020, Info, "request.outcome-unknown", "The outcome of an earlier attempt is unknown.";
    NOT_A_PEER = 2021, Warn, "request.not-a-peer", "A message between nodes was not made with the fleet secret; check for a wrong secret or a stranger.";
    REFUSED_BY_SERVER = 2022, Debug, "request.refused-by-server", "A backend server said that it did not run a request.";
    UNCONFIRMED = 2023, Info, "request.unconfirmed", "A request with a key was refused, as the keys in force could not be confirmed in time.";
    SERVER_FAILING = 2024, Debug, "request.server-failing", "A request was passed over by a backend server that fails often; look at that server.";
    SERVER_THROTTLED = 2025, Debug, "request.server-throttled", "A backend server takes fewer requests per second at present than arrive for it.";
    ABANDONED = 2026, Debug, "request.abandoned", "Nobody waited for the response to a request any more before it was sent on.";
    SERVER_COLD = 2027, Debug, "request.server-cold", "A backend server is cold, and got as many requests as it takes until it is warm.";
    ZONE_EVACUATED = 2028, Debug, "request.zone-evacuated", "A backend server gets no requests, because the operators evacuated its zone.";
    BUSIER_THAN_OTHERS = 2029, Debug, "request.busier-than-others", "A backend server had much more to do than others of its service, and the request went to another one.";
    RATE_HOLDER_UNREACHABLE = 2040, Debug, "request.rate-holder-unreachable", "No node that holds rates could be reached; look for a cut between zones, or for a platform outage since the start.";
}
