//! The content of an inventory's files, not parsed yet.
use std::collections::BTreeMap;
use std::sync::Arc;

/// The byte order mark that some editors write at the start of a file.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// A file's name, as messages show it, and its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// The name.
    pub name: Arc<str>,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl SourceFile {
    /// The bytes without a byte order mark.
    pub(crate) fn text(&self) -> &[u8] {
        self.bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&self.bytes)
    }
}

/// The file of an inventory and the files that belong to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InventoryFiles {
    /// The inventory itself.
    pub main: Option<SourceFile>,
    /// Variables of groups, `group_vars/NAME`; several files of one group in their order.
    pub group_vars: BTreeMap<String, Vec<SourceFile>>,
    /// Variables of hosts, `host_vars/NAME`.
    pub host_vars: BTreeMap<String, Vec<SourceFile>>,
}
