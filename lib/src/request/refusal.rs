//! Responses that the system generates in place of a backend server.

use std::fmt;

use http::StatusCode;

use super::Verdict;
use crate::process::events::Event;
use crate::process::events::request as events;
use crate::values::NodeId;

plain_value! {
    /// Why the system refused a request instead of returning a response of a backend server.
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// The request has no key and its route is not open.
        KeyMissing,
        /// The key is unknown or withdrawn.
        KeyInvalid,
        /// The organisation may not use the route.
        Forbidden,
        /// No route matches the path.
        NoRoute,
        /// The request is malformed, for example by a header that cannot be read.
        BadRequest,
        /// The body is larger than the system accepts.
        BodyTooLarge,
        /// A route that is not idempotent was called without an `Idempotency-Key`.
        IdempotencyKeyMissing,
        /// The `Idempotency-Key` was used before for another request.
        IdempotencyKeyReused,
        /// The organisation's rate and burst over the whole fleet are used up.
        RateExceeded,
        /// No rate holder can be reached, so the remaining rate is unknown.
        RateHolderUnreachable,
        /// The request was shed because capacity is short.
        Overloaded,
        /// The backend server reported that it did not run the request.
        RefusedByServer,
        /// The backend server fails often, and another one may run the request.
        ServerFailing,
        /// Requests with keys are refused because the keys in force cannot be confirmed.
        Unconfirmed,
        /// The node or its backend server is stopping.
        Draining,
        /// No backend server of the service is known or reachable.
        NoServer,
        /// The node that keeps the record of this `Idempotency-Key` is unreachable.
        HomeUnreachable,
        /// The node has no configuration yet.
        NotReady,
        /// The request ran out of time.
        DeadlineExceeded,
        /// The call tree of the request has used all its attempts.
        AttemptsExhausted,
        /// The call chain is deeper than the system serves.
        TooDeep,
        /// The handle of an onward call is unknown or its parent has ended.
        HandleUnknown,
        /// The request was in flight when several backend servers crashed.
        Quarantined,
        /// The backend server closed its connection or sent a broken response.
        BadAnswer,
        /// The outcome of an earlier attempt with the same key is unknown.
        OutcomeUnknown,
        /// The sender of a message between nodes does not know the fleet secret.
        NotAPeer,
        /// The backend server takes fewer requests at present than arrive for it.
        ServerThrottled,
        /// Nobody waits for the response any more.
        Abandoned,
        /// The backend server has much more to do than others of its service. Only nodes tell each
        /// other so; the sender tries another one.
        BusierThanOthers,
        /// The backend server is cold, and got as many requests as it takes until it is warm.
        ServerCold,
        /// The operators evacuated the zone of the backend server.
        ZoneEvacuated,
    }
}

impl RefusalReason {
    /// Returns the stable code used in problem bodies.
    pub fn code(self) -> &'static str {
        match self {
            Self::KeyMissing => "key-missing",
            Self::KeyInvalid => "key-invalid",
            Self::Forbidden => "forbidden",
            Self::NoRoute => "no-route",
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::IdempotencyKeyMissing => "idempotency-key-missing",
            Self::IdempotencyKeyReused => "idempotency-key-reused",
            Self::RateExceeded => "rate-exceeded",
            Self::RateHolderUnreachable => "rate-holder-unreachable",
            Self::Overloaded => "overloaded",
            Self::RefusedByServer => "refused-by-server",
            Self::ServerFailing => "server-failing",
            Self::Unconfirmed => "unconfirmed",
            Self::Draining => "draining",
            Self::NoServer => "no-server",
            Self::HomeUnreachable => "home-unreachable",
            Self::NotReady => "not-ready",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::AttemptsExhausted => "attempts-exhausted",
            Self::TooDeep => "too-deep",
            Self::HandleUnknown => "handle-unknown",
            Self::Quarantined => "quarantined",
            Self::BadAnswer => "bad-answer",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::NotAPeer => "not-a-peer",
            Self::ServerThrottled => "server-throttled",
            Self::Abandoned => "abandoned",
            Self::BusierThanOthers => "busier-than-others",
            Self::ServerCold => "server-cold",
            Self::ZoneEvacuated => "zone-evacuated",
        }
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Self::KeyMissing | Self::KeyInvalid | Self::NotAPeer => StatusCode::UNAUTHORIZED,
            Self::Forbidden | Self::HandleUnknown => StatusCode::FORBIDDEN,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest | Self::IdempotencyKeyMissing => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IdempotencyKeyReused | Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::BadAnswer | Self::Abandoned => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded | Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::Overloaded
            | Self::RefusedByServer
            | Self::ServerFailing
            | Self::ServerThrottled
            | Self::BusierThanOthers
            | Self::ServerCold
            | Self::ZoneEvacuated
            | Self::Unconfirmed
            | Self::Draining
            | Self::NoServer
            | Self::HomeUnreachable
            | Self::RateHolderUnreachable
            | Self::NotReady
            | Self::AttemptsExhausted => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the event that records the refusal in the log.
    pub fn event(self) -> Event {
        match self {
            Self::KeyMissing => events::KEY_MISSING,
            Self::KeyInvalid => events::KEY_INVALID,
            Self::Forbidden => events::FORBIDDEN,
            Self::NoRoute => events::NO_ROUTE,
            Self::BadRequest => events::BAD_REQUEST,
            Self::BodyTooLarge => events::BODY_TOO_LARGE,
            Self::IdempotencyKeyMissing => events::IDEMPOTENCY_KEY_MISSING,
            Self::IdempotencyKeyReused => events::IDEMPOTENCY_KEY_REUSED,
            Self::RateExceeded => events::RATE_EXCEEDED,
            Self::RateHolderUnreachable => events::RATE_HOLDER_UNREACHABLE,
            Self::Overloaded => events::OVERLOADED,
            Self::RefusedByServer => events::REFUSED_BY_SERVER,
            Self::ServerFailing => events::SERVER_FAILING,
            Self::Unconfirmed => events::UNCONFIRMED,
            Self::Draining => events::DRAINING,
            Self::NoServer => events::NO_SERVER,
            Self::HomeUnreachable => events::HOME_UNREACHABLE,
            Self::NotReady => events::NOT_READY,
            Self::DeadlineExceeded => events::DEADLINE_EXCEEDED,
            Self::AttemptsExhausted => events::ATTEMPTS_EXHAUSTED,
            Self::TooDeep => events::TOO_DEEP,
            Self::HandleUnknown => events::HANDLE_UNKNOWN,
            Self::Quarantined => events::QUARANTINED,
            Self::BadAnswer => events::BAD_ANSWER,
            Self::OutcomeUnknown => events::OUTCOME_UNKNOWN,
            Self::NotAPeer => events::NOT_A_PEER,
            Self::ServerThrottled => events::SERVER_THROTTLED,
            Self::Abandoned => events::ABANDONED,
            Self::BusierThanOthers => events::BUSIER_THAN_OTHERS,
            Self::ServerCold => events::SERVER_COLD,
            Self::ZoneEvacuated => events::ZONE_EVACUATED,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

plain_data! {
    /// A response that the system generates in place of a backend server.
    pub struct Refusal {
        /// Why the request was refused.
        pub reason: RefusalReason,
        /// Whether a handler may have received the request.
        pub verdict: Verdict,
        /// Time after which the caller may retry, if a retry can help.
        pub retry_after_ms: Option<u64>,
        /// The only node that may run the request, if the refusing node knows one.
        pub only_on: Option<NodeId>,
    }
}

impl Refusal {
    /// Refuses a request that reached no handler.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after_ms: None,
            only_on: None,
        }
    }

    /// Refuses a request that a handler may have received.
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            verdict: Verdict::MayHaveRun,
            retry_after_ms: None,
            only_on: None,
        }
    }

    /// Refuses a request that ended without a response, and that a handler may have received if it was sent.
    pub fn unanswered(reason: RefusalReason, is_sent: bool) -> Self {
        match is_sent {
            true => Self::may_have_run(reason),
            false => Self::not_run(reason),
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    /// Sets the only node that may run the request.
    pub fn only_on(self, node: NodeId) -> Self {
        Self {
            only_on: Some(node),
            ..self
        }
    }
}
