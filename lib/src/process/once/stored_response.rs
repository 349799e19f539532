//! Responses that are stored so that a resent request gets the same one.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;

plain_data! {
    /// One header of a stored response.
    #[derive(Eq)]
    pub struct HeaderLine {
        /// The name in lower case.
        pub name: String,
        /// The value; headers with values other than visible ASCII are not stored.
        pub value: String,
    }
}

plain_data! {
    /// A complete response of a backend server.
    #[derive(Eq)]
    pub struct StoredResponse {
        /// The HTTP status.
        pub status: u16,
        /// The headers that describe the body.
        pub headers: Vec<HeaderLine>,
        /// The body; serialized as base64.
        #[serde(serialize_with = "serialize_body", deserialize_with = "deserialize_body")]
        pub body: Bytes,
    }
}

impl StoredResponse {
    /// Returns the memory of the headers and the body, in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|line| size_of::<HeaderLine>() + line.name.len() + line.value.len())
            .sum();
        headers + self.body.len()
    }
}

fn serialize_body<S: serde::Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(body))
}

fn deserialize_body<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text: String = serde::Deserialize::deserialize(deserializer)?;
    let body = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
    Ok(body.into())
}
