//! Wire format of datagrams.
//!
//! A datagram consists of a version byte, the envelope, any number of records (both encoded with
//! `postcard`), and a message authentication code over all preceding bytes.

use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

use super::Datagram;
use super::Envelope;
use super::NodeRecord;
use crate::process::secret::DerivedKey;

/// Maximum size of a datagram in bytes, small enough to avoid fragmentation in the network.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// Length of the transmitted message authentication code in bytes.
const CODE_BYTES: usize = 16;

/// The only version of the wire format.
const WIRE_VERSION: u8 = 1;

/// The reason why received bytes are not a valid datagram of this fleet.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// The datagram is longer than [`DATAGRAM_MAX_BYTES`].
    #[snafu(display("datagram has {bytes} bytes, the maximum is {DATAGRAM_MAX_BYTES}"))]
    TooLong {
        /// Number of bytes received.
        bytes: usize,
    },
    /// The datagram is too short to hold a version byte and an authentication code.
    #[snafu(display("datagram is too short for a version byte and an authentication code"))]
    TooShort,
    /// The sender does not know the fleet secret, or the datagram was damaged.
    #[snafu(display("datagram has an invalid authentication code"))]
    WrongCode,
    /// The sender uses another version of the wire format.
    #[snafu(display("datagram has wire version {found}, expected {WIRE_VERSION}"))]
    WrongVersion {
        /// The version found.
        found: u8,
    },
    /// The envelope or a record cannot be decoded.
    #[snafu(display("datagram content cannot be decoded"))]
    Malformed,
}

/// Builds the bytes of a datagram.
#[derive(Clone, Debug)]
pub struct DatagramBuilder {
    bytes: Vec<u8>,
}

impl DatagramBuilder {
    /// Creates a datagram with a version byte and `envelope`.
    pub fn new(envelope: &Envelope) -> Self {
        let mut bytes = vec![WIRE_VERSION];
        append(&mut bytes, envelope);
        Self { bytes }
    }

    /// Adds a record if it fits, and returns whether it did.
    pub fn add(&mut self, record: &NodeRecord) -> bool {
        let length_before = self.bytes.len();
        append(&mut self.bytes, record);
        let fits = self.bytes.len() + CODE_BYTES <= DATAGRAM_MAX_BYTES;
        if !fits {
            self.bytes.truncate(length_before);
        }
        fits
    }

    /// Appends the authentication code and returns the finished bytes.
    pub fn seal(mut self, key: &DerivedKey) -> Vec<u8> {
        let code = key.mac(&self.bytes);
        self.bytes.extend_from_slice(&code[..CODE_BYTES]);
        self.bytes
    }
}

/// Appends the encoded value. Encoding cannot fail for values without maps or sequences of unknown
/// length.
fn append(bytes: &mut Vec<u8>, value: &impl Serialize) {
    if let Ok(encoded) = postcard::to_stdvec(value) {
        bytes.extend_from_slice(&encoded);
    }
}

/// Authenticates and decodes a received datagram.
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
