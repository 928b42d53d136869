//! The keys of a configuration file: a file that replaces another must have all keys of that one.
use serde_json::Value;
use std::collections::BTreeSet;

/// The paths of a file's keys. In a list of objects a key counts that all of them have, under `[]`.
pub(crate) type KeyPaths = BTreeSet<String>;

/// The key under which the last known endpoint list is kept. It is no setting: its keys come and
/// go.
const KNOWN_ENDPOINTS_KEY: &str = "known";

/// The paths of all keys of a JSON value.
pub(super) fn key_paths(value: &Value) -> KeyPaths {
    match value {
        Value::Object(object) => {
            let mut paths = KeyPaths::new();
            for (key, value) in object {
                paths.insert(key.clone());
                if key != KNOWN_ENDPOINTS_KEY {
                    paths.extend(key_paths(value).into_iter().map(|path| join(key, &path)));
                }
            }
            paths
        }
        Value::Array(list) => {
            let each = list.iter().filter(|value| value.is_object()).map(key_paths);
            let common = each.reduce(|first, second| first.intersection(&second).cloned().collect());
            common.unwrap_or_default().into_iter().map(|path| format!("[].{path}")).collect()
        }
        _ => KeyPaths::new(),
    }
}

fn join(key: &str, path: &str) -> String {
    if path.starts_with('[') { format!("{key}{path}") } else { format!("{key}.{path}") }
}
