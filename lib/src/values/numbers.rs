//! Newtypes over numbers, so that a rate is never taken for a size.

number_type! {
    /// The version of an accepted configuration. It only rises.
    ConfigVersion(u64)
}

number_type! {
    /// Fences a role that one node at a time may hold. A higher epoch ends all lower ones.
    Epoch(u64)
}

number_type! {
    /// Tells the lives of one node apart. A node raises it at each start and to refute a rumour.
    Incarnation(u64)
}

number_type! {
    /// Rank of a request when capacity is short. Higher values are shed later.
    Importance(u8)
}

number_type! {
    /// Requests that a backend server runs at the same time.
    SlotCount(u32)
}

number_type! {
    /// Connections that a backend server accepts at the same time.
    ConnectionCount(u32)
}

number_type! {
    /// Requests that an organisation may start on average in a second.
    RatePerSecond(u32)
}

number_type! {
    /// Permissions to start one request each.
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
