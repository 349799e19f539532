//! Newtypes over numbers, so that a rate cannot be used as a size.

number_type! {
    /// The version of an accepted configuration. It only increases.
    ConfigVersion(u64)
}

number_type! {
    /// Fences a role that only one node at a time may hold. A higher epoch invalidates all lower
    /// ones.
    Epoch(u64)
}

number_type! {
    /// Distinguishes incarnations of one node. A node increases it at each start and to refute
    /// gossip.
    Incarnation(u64)
}

number_type! {
    /// Importance of a request when capacity is short. Lower values are shed first.
    Importance(u8)
}

number_type! {
    /// Number of requests that a backend server runs at the same time.
    SlotCount(u32)
}

number_type! {
    /// Number of connections that a backend server accepts at the same time.
    ConnectionCount(u32)
}

number_type! {
    /// Average number of requests per second that an organisation may start.
    RatePerSecond(u32)
}

number_type! {
    /// Number of tokens, each of which permits the start of one request.
    TokenCount(u64)
}

plain_value! {
    /// Identifies the root request of a call tree on every node that serves a part of it.
    #[serde(try_from = "String", into = "String")]
    pub struct RequestId(pub u128);
}

impl TryFrom<String> for RequestId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
