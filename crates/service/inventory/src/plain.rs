//! A plain list of hosts in YAML: a list of mappings, alone or under the key `hosts`; a bare word
//! in it is a host of which
//! nothing is said.
use crate::mapping::{ColumnTarget, ReadOptions};
use crate::yaml::{Node, Tree};
use spanlead_worker_attributes::{
    Attribute, Diagnostic, DiagnosticEffect, Precedence, RawHost, RawInventory, RawValue, Statement,
};
use std::rc::Rc;
use std::sync::Arc;

/// The list in a document, if it has this form.
fn list(tree: &Tree) -> Option<&[Rc<Tree>]> {
    match &tree.node {
        Node::List(list) => Some(list),
        Node::Map(pairs) => {
            pairs.iter().find(|(k, _)| k.text() == Some("hosts")).and_then(|(_, v)| match &v.node {
                Node::List(list) => Some(&list[..]),
                _ => None,
            })
        }
        Node::Scalar { .. } => None,
    }
}

/// Whether a document has this form, and not that of groups.
pub(crate) fn is_list(tree: &Tree) -> bool {
    list(tree).is_some()
}

pub(crate) fn read(name: &Arc<str>, tree: &Tree, options: &ReadOptions) -> RawInventory {
    let mut raw = RawInventory {
        files: vec![name.clone()],
        by_line: true,
        host_key: Arc::from(options.mapping.host_column()),
        ..RawInventory::default()
    };
    let Some(list) = list(tree) else {
        raw.diagnostics.push(Diagnostic::file_rejected(
            tree.location,
            "",
            format!("is {}, not a list of hosts", tree.kind()),
        ));
        return raw;
    };
    if list.len() > options.max_hosts {
        let why = format!("there are more than {} hosts", options.max_hosts);
        raw.diagnostics.push(Diagnostic::file_rejected(list[options.max_hosts].location, "", why));
        return raw;
    }
    for entry in list {
        let left_out = |key: &str, reason: String| Diagnostic {
            location: entry.location,
            key: key.into(),
            reason,
            effect: DiagnosticEffect::LineSkipped,
        };
        match &entry.node {
            Node::Map(pairs) => {
                let mut names =
                    pairs.iter().filter(|(k, _)| k.text().is_some_and(|k| options.mapping.is_host(k)));
                let (Some((_, host)), None) = (names.next(), names.next()) else {
                    let why = "must stand once in each entry: it names the host";
                    raw.diagnostics.push(left_out(options.mapping.host_column(), why.into()));
                    continue;
                };
                let Some(text) = host.text().filter(|_| !host.null()) else {
                    raw.diagnostics.push(left_out(
                        options.mapping.host_column(),
                        format!("is {}, not a name", host.kind()),
                    ));
                    continue;
                };
                let statements = statements(pairs, options, Precedence::default());
                raw.hosts.push(RawHost { host: text.to_owned(), location: host.location, statements });
            }
            Node::Scalar { text, .. } if !entry.null() => {
                raw.hosts.push(RawHost {
                    host: text.clone(),
                    location: entry.location,
                    statements: Vec::new(),
                });
            }
            _ => raw.diagnostics.push(left_out("", format!("is {}, not a host", entry.kind()))),
        }
    }
    raw
}

/// What a mapping states of facts.
pub(crate) fn statements(
    pairs: &[(Rc<Tree>, Rc<Tree>)],
    options: &ReadOptions,
    precedence: Precedence,
) -> Vec<Statement> {
    let mut statements = Vec::new();
    for (key, value) in pairs {
        let Some(name) = key.text().filter(|k| !options.mapping.is_host(k)) else { continue };
        let Some(target) = options.mapping.target(name) else { continue };
        if value.null() {
            continue;
        }
        let (attribute, read) = match target {
            ColumnTarget::Attribute(Attribute::Labels) => (Attribute::Labels, labels(value)),
            ColumnTarget::Attribute(attribute) => {
                (attribute, word(value).map_or_else(RawValue::Unreadable, RawValue::Text))
            }
            ColumnTarget::Label(label) => {
                let one = word(value).map(|text| RawValue::Labels(vec![(label, text, value.location)]));
                (Attribute::Labels, one.unwrap_or_else(RawValue::Unreadable))
            }
        };
        statements.push(Statement {
            attribute,
            key: Arc::from(name),
            value: read,
            location: value.location,
            precedence,
        });
    }
    statements
}

fn word(value: &Tree) -> Result<String, String> {
    match &value.node {
        Node::Scalar { tag: Some(tag), .. } => Err(format!("has the tag {tag}, which is not known here")),
        Node::Scalar { text, .. } => Ok(text.clone()),
        _ => Err(format!("is {}, where a word or number is wanted", value.kind())),
    }
}

fn labels(value: &Tree) -> RawValue {
    let Node::Map(pairs) = &value.node else {
        return word(value).map_or_else(RawValue::Unreadable, RawValue::Text);
    };
    let pair = |(key, value): &(Rc<Tree>, Rc<Tree>)| {
        let key = key.text().ok_or_else(|| format!("a label's name is {}", key.kind()))?;
        let text =
            if value.null() { String::new() } else { word(value).map_err(|why| format!("{key}: {why}"))? };
        Ok((key.to_owned(), text, value.location))
    };
    pairs
        .iter()
        .map(pair)
        .collect::<Result<Vec<_>, String>>()
        .map_or_else(RawValue::Unreadable, RawValue::Labels)
}
