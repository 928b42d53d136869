//! The part of a configuration that data planes use.
//!
//! Data planes judge the form of requests; everything else is judged by the primary. So they are told the version and the
//! limits, some hundred bytes, however many routes there are.
#![allow(missing_docs, reason = "the types that rkyv derives have undocumented fields")]
use crate::{Configuration, Limits};
use quick_error::quick_error;
use rkyv::{Archive, Deserialize, Serialize};

quick_error! {
    /// Why bytes are no part of a configuration.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DataPlaneError {
        /// They are damaged, cut short, or of another version of the program.
        Form {
            display("no part of a configuration of this form")
        }
    }
}

/// What data planes are told of a configuration.
#[derive(Archive, Serialize, Deserialize, Clone, Default, Debug, PartialEq, Eq)]
pub struct DataPlaneConfiguration {
    /// The configuration's version.
    pub version: u64,
    /// What requests may be like.
    pub limits: Limits,
}

impl DataPlaneConfiguration {
    /// Its bytes, as data planes pass them on.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self).map(|bytes| bytes.to_vec()).unwrap_or_default()
    }

    /// Reads what [`encode`](Self::encode) made.
    ///
    /// # Errors
    /// If the bytes are anything else.
    pub fn decode(bytes: &[u8]) -> Result<Self, DataPlaneError> {
        rkyv::from_bytes::<Self, rkyv::rancor::Error>(bytes).map_err(|_| DataPlaneError::Form)
    }
}

impl From<&Configuration> for DataPlaneConfiguration {
    fn from(configuration: &Configuration) -> Self {
        DataPlaneConfiguration { version: configuration.version, limits: configuration.limits.clone() }
    }
}
