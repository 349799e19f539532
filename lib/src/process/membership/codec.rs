//! The form of a datagram on the wire.
//!
//! A datagram is a version byte, the envelope, any number of records (all by `postcard`), and the
//! message authentication code over all that goes before it.

use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

use super::Datagram;
use super::Envelope;
use super::NodeRecord;
use crate::process::secret::DerivedKey;

/// Most bytes of a datagram, so that no network splits it.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// Bytes of the message authentication code that are sent.
const CODE_BYTES: usize = 16;

/// The only version of the wire form.
const WIRE_VERSION: u8 = 1;

/// The reason why bytes are no datagram of this fleet.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// The datagram is longer than any node sends.
    #[snafu(display("datagram has {bytes} bytes, allowed are {DATAGRAM_MAX_BYTES}"))]
    TooLong {
        /// Number of bytes found.
        bytes: usize,
    },
    /// The datagram is too short to hold an authentication code.
    #[snafu(display("datagram is too short"))]
    TooShort,
    /// The sender does not know the fleet secret, or the datagram was damaged.
    #[snafu(display("datagram has a wrong authentication code"))]
    WrongCode,
    /// The sender uses another version of the wire form.
    #[snafu(display("datagram has wire version {found}"))]
    WrongVersion {
        /// The version found.
        found: u8,
    },
    /// The content does not decode.
    #[snafu(display("datagram does not decode"))]
    Malformed,
}

/// A datagram in the making.
#[derive(Clone, Debug)]
pub struct DatagramBuilder {
    bytes: Vec<u8>,
}

impl DatagramBuilder {
    /// Starts a datagram with its fixed part.
    pub fn new(envelope: &Envelope) -> Self {
        let mut bytes = vec![WIRE_VERSION];
        append(&mut bytes, envelope);
        Self { bytes }
    }

    /// Adds a record, and returns whether there was room for it.
    pub fn add(&mut self, record: &NodeRecord) -> bool {
        let length_before = self.bytes.len();
        append(&mut self.bytes, record);
        let fits = self.bytes.len() + CODE_BYTES <= DATAGRAM_MAX_BYTES;
        if !fits {
            self.bytes.truncate(length_before);
        }
        fits
    }

    /// Adds the authentication code and returns the finished bytes.
    pub fn seal(mut self, key: &DerivedKey) -> Vec<u8> {
        let code = key.mac(&self.bytes);
        self.bytes.extend_from_slice(&code[..CODE_BYTES]);
        self.bytes
    }
}

/// Appends the encoded value. Values without maps or unsized sequences always encode.
fn append(bytes: &mut Vec<u8>, value: &impl Serialize) {
    if let Ok(encoded) = postcard::to_stdvec(value) {
        bytes.extend_from_slice(&encoded);
    }
}

/// Checks and decodes a received datagram.
pub fn decode(bytes: &[u8], key: &DerivedKey) -> Result<Datagram, DatagramError> {
    let found = bytes.len();
    ensure!(found <= DATAGRAM_MAX_BYTES, TooLongSnafu { bytes: found });
    let (content, code) = bytes
        .split_last_chunk::<CODE_BYTES>()
        .context(TooShortSnafu)?;
    ensure!(key.verify(content, code), WrongCodeSnafu);
    let (version, content) = content.split_first().context(TooShortSnafu)?;
    ensure!(
        *version == WIRE_VERSION,
        WrongVersionSnafu { found: *version }
    );
    decode_content(content)
}

fn decode_content(content: &[u8]) -> Result<Datagram, DatagramError> {
    let malformed = |_| DatagramError::Malformed;
    let (envelope, mut rest) = postcard::take_from_bytes(content).map_err(malformed)?;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (record, after) = postcard::take_from_bytes(rest).map_err(malformed)?;
        records.push(record);
        rest = after;
    }
    Ok(Datagram { envelope, records })
}
