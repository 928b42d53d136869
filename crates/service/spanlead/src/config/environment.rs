//! What the environment says.
use super::ConfigError;
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// The configuration file.
pub(super) const CONFIG_FILE: &str = "ROUTER_CONFIG";
/// The scheduler's name.
pub(super) const NAME: &str = "ROUTER_NAME";
/// Where clients connect.
pub(super) const LISTEN: &str = "ROUTER_LISTEN";
/// A listening socket that the process inherits.
pub(super) const LISTEN_FD: &str = "ROUTER_LISTEN_FD";
/// Where discovery is.
pub(super) const DISCOVERY: &str = "ROUTER_DISCOVERY";
/// Where operators call.
pub(super) const OPERATOR: &str = "ROUTER_OPERATOR";

/// A variable that is set and not empty.
pub(super) fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// An address of the variable, or else of the file.
pub(super) fn optional_address(
    name: &str,
    from_file: Option<SocketAddr>,
) -> Result<Option<SocketAddr>, ConfigError> {
    let Some(text) = variable(name) else { return Ok(from_file) };
    text.parse().map(Some).map_err(|error| ConfigError::new(name, format!("{text}: {error}")))
}

/// The same, where one of them must have it.
pub(super) fn address(
    name: &str,
    key: &str,
    from_file: Option<SocketAddr>,
) -> Result<SocketAddr, ConfigError> {
    let missing = || ConfigError::new(key, format!("is missing, and {name} is not set"));
    optional_address(name, from_file)?.ok_or_else(missing)
}

/// The number of an open descriptor.
pub(super) fn descriptor(name: &str) -> Result<Option<RawFd>, ConfigError> {
    let Some(text) = variable(name) else { return Ok(None) };
    let number = text.parse::<u16>();
    let number = number.map_err(|error| ConfigError::new(name, format!("{text}: {error}")))?;
    Ok(Some(number.into()))
}
