//! A plain list of hosts in YAML: a list of mappings, alone or under the key `hosts`; a bare word in it is a host of which
//! nothing is said.
use crate::mapping::{Reading, Target};
use crate::yaml::{Node, Tree};
use spanlead_worker_attributes::{Done, Fact, Item, Rank, Raw, RawFile, Refusal, Value};
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

pub(crate) fn read(name: &Arc<str>, tree: &Tree, reading: &Reading) -> RawFile {
    let mut raw = RawFile {
        files: vec![name.clone()],
        by_line: true,
        host_key: Arc::from(reading.mapping.host_name()),
        ..RawFile::default()
    };
    let Some(list) = list(tree) else {
        raw.refusals.push(Refusal::whole(tree.at, "", format!("is {}, not a list of hosts", tree.kind())));
        return raw;
    };
    if list.len() > reading.hosts {
        let why = format!("there are more than {} hosts", reading.hosts);
        raw.refusals.push(Refusal::whole(list[reading.hosts].at, "", why));
        return raw;
    }
    for entry in list {
        let left_out = |key: &str, reason: String| Refusal {
            at: entry.at,
            key: key.into(),
            reason,
            done: Done::LineLeftOut,
        };
        match &entry.node {
            Node::Map(pairs) => {
                let mut names =
                    pairs.iter().filter(|(k, _)| k.text().is_some_and(|k| reading.mapping.is_host(k)));
                let (Some((_, host)), None) = (names.next(), names.next()) else {
                    let why = "must stand once in each entry: it names the host";
                    raw.refusals.push(left_out(reading.mapping.host_name(), why.into()));
                    continue;
                };
                let Some(text) = host.text().filter(|_| !host.null()) else {
                    raw.refusals.push(left_out(
                        reading.mapping.host_name(),
                        format!("is {}, not a name", host.kind()),
                    ));
                    continue;
                };
                let items = items(pairs, reading, Rank::default());
                raw.hosts.push(Raw { host: text.to_owned(), at: host.at, items });
            }
            Node::Scalar { text, .. } if !entry.null() => {
                raw.hosts.push(Raw { host: text.clone(), at: entry.at, items: Vec::new() });
            }
            _ => raw.refusals.push(left_out("", format!("is {}, not a host", entry.kind()))),
        }
    }
    raw
}

/// What a mapping states of facts.
pub(crate) fn items(pairs: &[(Rc<Tree>, Rc<Tree>)], reading: &Reading, rank: Rank) -> Vec<Item> {
    let mut items = Vec::new();
    for (key, value) in pairs {
        let Some(name) = key.text().filter(|k| !reading.mapping.is_host(k)) else { continue };
        let Some(target) = reading.mapping.target(name) else { continue };
        if value.null() {
            continue;
        }
        let (fact, read) = match target {
            Target::Fact(Fact::Labels) => (Fact::Labels, labels(value)),
            Target::Fact(fact) => (fact, word(value).map_or_else(Value::Unreadable, Value::Text)),
            Target::Label(label) => {
                let one = word(value).map(|text| Value::Labels(vec![(label, text, value.at)]));
                (Fact::Labels, one.unwrap_or_else(Value::Unreadable))
            }
        };
        items.push(Item { fact, key: Arc::from(name), value: read, at: value.at, rank });
    }
    items
}

fn word(value: &Tree) -> Result<String, String> {
    match &value.node {
        Node::Scalar { tag: Some(tag), .. } => Err(format!("has the tag {tag}, which is not known here")),
        Node::Scalar { text, .. } => Ok(text.clone()),
        _ => Err(format!("is {}, where a word or number is wanted", value.kind())),
    }
}

fn labels(value: &Tree) -> Value {
    let Node::Map(pairs) = &value.node else {
        return word(value).map_or_else(Value::Unreadable, Value::Text);
    };
    let pair = |(key, value): &(Rc<Tree>, Rc<Tree>)| {
        let key = key.text().ok_or_else(|| format!("a label's name is {}", key.kind()))?;
        let text =
            if value.null() { String::new() } else { word(value).map_err(|why| format!("{key}: {why}"))? };
        Ok((key.to_owned(), text, value.at))
    };
    pairs.iter().map(pair).collect::<Result<Vec<_>, String>>().map_or_else(Value::Unreadable, Value::Labels)
}
