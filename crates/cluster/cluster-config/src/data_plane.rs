//! The part of a configuration that data planes need.
//!
//! Data planes check only the form of requests; everything else is decided by the primary. So they
//! are sent the version and the limits, some hundred bytes however many routes there are.
#![allow(missing_docs, reason = "the types that rkyv derives have undocumented fields")]
use crate::{Configuration, Limits};
use quick_error::quick_error;
use rkyv::{Archive, Deserialize, Serialize, rancor};

quick_error! {
    /// Why bytes can't be decoded.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DecodeError {
        /// They are damaged, truncated, or of another version of the program.
        Malformed {
            display("no part of a configuration of this form")
        }
    }
}

/// The part of a configuration that data planes need.
///
/// `rkyv` serialises it by the order and the types of the fields: they must stay.
#[derive(Archive, Serialize, Deserialize, Clone, Default, Debug, PartialEq, Eq)]
pub struct DataPlaneConfiguration {
    /// The version of the configuration.
    pub version: u64,
    /// Limits on clients' requests.
    pub limits: Limits,
}

impl DataPlaneConfiguration {
    /// Encodes it as data planes forward it.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rkyv::to_bytes::<rancor::Error>(self).map(|bytes| bytes.to_vec()).unwrap_or_default()
    }

    /// Decodes what [`encode`](Self::encode) returned.
    ///
    /// # Errors
    /// If the bytes are anything else.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        rkyv::from_bytes::<Self, rancor::Error>(bytes).map_err(|_| DecodeError::Malformed)
    }
}

impl From<&Configuration> for DataPlaneConfiguration {
    fn from(configuration: &Configuration) -> Self {
        DataPlaneConfiguration { version: configuration.version, limits: configuration.limits.clone() }
    }
}
