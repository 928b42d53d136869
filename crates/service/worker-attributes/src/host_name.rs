//! Names of hosts, compared as DNS does: without regard to case or to a last dot, international
//! ones by their A-labels
//! (RFC 1035, 2.3.1 and 2.3.3; RFC 5890). The underscore is let pass, as resolvers do.
use std::borrow::Cow;
use std::fmt;

/// The longest name, without the last dot, and the longest part of it, octets (RFC 1035, 2.3.4).
const MAX_NAME: usize = 253;
const MAX_LABEL: usize = 63;

/// Why a text is no host's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostNameError {
    /// Nothing is left of it.
    Empty,
    /// More than 253 octets.
    TooLong,
    /// A part of it between dots is empty or has more than 63 octets.
    Label,
    /// A character that stands in no name.
    Character(char),
    /// An international name that has no A-label.
    International,
}

impl fmt::Display for HostNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostNameError::Empty => write!(f, "is empty"),
            HostNameError::TooLong => write!(f, "has more than {MAX_NAME} characters"),
            HostNameError::Label => {
                write!(f, "has a part between dots that is empty or over {MAX_LABEL} characters")
            }
            HostNameError::Character(c) => write!(f, "holds {c:?}, which stands in no host's name"),
            HostNameError::International => {
                write!(f, "is an international name that can't be written in DNS")
            }
        }
    }
}

impl std::error::Error for HostNameError {}

/// The one spelling by which a name is compared.
///
/// # Errors
/// If it can't be a host's name.
pub fn normalize_host_name(name: &str) -> Result<Cow<'_, str>, HostNameError> {
    let name = name.strip_suffix('.').unwrap_or(name);
    if name.is_empty() {
        return Err(HostNameError::Empty);
    }
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_' || b == b'.';
    let known = name.bytes().all(plain);
    let normal = if known {
        Cow::Borrowed(name)
    } else if name.is_ascii() {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        idna::domain_to_ascii(name).map(Cow::Owned).map_err(|_| HostNameError::International)?
    };
    if let Some(c) = normal.chars().find(|c| !c.is_ascii() || !plain(*c as u8)) {
        return Err(HostNameError::Character(c));
    }
    if normal.len() > MAX_NAME {
        return Err(HostNameError::TooLong);
    }
    if normal.split('.').any(|label| label.is_empty() || label.len() > MAX_LABEL) {
        return Err(HostNameError::Label);
    }
    Ok(normal)
}
