//! The part of a configuration that data planes need.
//!
//! Data planes only check that requests are well formed and within limits; the primary decides
//! everything else. Therefore they are sent only the version and the limits, less than 200 bytes
//! regardless of the number of routes.
#![allow(missing_docs, reason = "the types that rkyv derives have undocumented fields")]
use crate::{Configuration, Limits};
use quick_error::quick_error;
use rkyv::{Archive, Deserialize, Serialize, rancor};

quick_error! {
    /// An error in decoding a [`DataPlaneConfiguration`].
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes are corrupt, truncated, or from another version of the program.
        Malformed {
            display("malformed data plane configuration, or one of another program version")
        }
    }
}

/// The part of a configuration that data planes need.
///
/// `rkyv` serialises it by the order and the types of the fields, so these must not change.
#[derive(Archive, Serialize, Deserialize, Clone, Default, Debug, PartialEq, Eq)]
pub struct DataPlaneConfiguration {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on clients' requests.
    pub limits: Limits,
}

impl DataPlaneConfiguration {
    /// Encodes the configuration in the form in which data planes disseminate it.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rkyv::to_bytes::<rancor::Error>(self).map(|bytes| bytes.to_vec()).unwrap_or_default()
    }

    /// Decodes the output of [`encode`](Self::encode).
    ///
    /// # Errors
    /// If the bytes are not a valid encoding.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        rkyv::from_bytes::<Self, rancor::Error>(bytes).map_err(|_| DecodeError::Malformed)
    }
}

impl From<&Configuration> for DataPlaneConfiguration {
    fn from(configuration: &Configuration) -> Self {
        DataPlaneConfiguration { version: configuration.version, limits: configuration.limits.clone() }
    }
}
