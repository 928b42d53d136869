//! YAML 1.2 as a tree in which everything keeps its place. The events are saphyr-parser's; the tree
//! is bounded in depth and
//! in what its aliases stand for, so that no file takes more memory than a small multiple of its
//! size (the "billion
//! laughs"), and nothing is looked at twice for being named twice.
use saphyr_parser::{Event, Parser, ScalarStyle, Span};
use spanlead_worker_attributes::{Diagnostic, SourceLocation};
use std::collections::HashMap;
use std::rc::Rc;

/// The deepest nesting.
const MAX_DEPTH: usize = 64;
/// How many nodes a tree may have, with what its aliases stand for.
const MAX_NODES: usize = 20_000_000;
/// How many of these may come from aliases beyond what stands in the file.
const MAX_ALIASED: usize = 1_000_000;

/// A node and its place.
#[derive(Clone, Debug)]
pub(crate) struct Tree {
    pub(crate) location: SourceLocation,
    pub(crate) node: Node,
    /// Nodes in it, aliases worked out.
    size: usize,
}

#[derive(Clone, Debug)]
pub(crate) enum Node {
    /// A scalar: its text, whether it is plain (neither quoted nor a block), and its tag if it has
    /// one of its own.
    Scalar {
        text: String,
        plain: bool,
        tag: Option<String>,
    },
    List(Vec<Rc<Tree>>),
    /// Keys may stand twice: who reads it decides.
    Map(Vec<(Rc<Tree>, Rc<Tree>)>),
}

impl Tree {
    /// The text of a scalar.
    pub(crate) fn text(&self) -> Option<&str> {
        match &self.node {
            Node::Scalar { text, .. } => Some(text),
            _ => None,
        }
    }

    /// Whether it says nothing: an empty or null plain scalar.
    pub(crate) fn null(&self) -> bool {
        matches!(&self.node, Node::Scalar { text, plain: true, .. } if matches!(&**text, "" | "~" | "null" | "Null" | "NULL"))
    }

    /// What it is, for messages.
    pub(crate) fn kind(&self) -> &'static str {
        match &self.node {
            Node::Scalar { .. } if self.null() => "nothing",
            Node::Scalar { .. } => "a word",
            Node::List(_) => "a list",
            Node::Map(_) => "a mapping",
        }
    }
}

/// A collection that is still open.
struct Open {
    location: SourceLocation,
    anchor: usize,
    size: usize,
    /// A map's key that waits for its value.
    key: Option<Rc<Tree>>,
    node: Node,
}

/// Reads the first document. `file` is the number that its places get.
pub(crate) fn load(bytes: &[u8], file: u16) -> Result<Rc<Tree>, Diagnostic> {
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let before = &bytes[..e.valid_up_to()];
        let line = before.iter().filter(|b| **b == b'\n').count() as u32 + 1;
        Diagnostic::file_rejected(SourceLocation { file, line, column: 0 }, "", "is not UTF-8 text")
    })?;
    let place = |span: &Span| SourceLocation {
        file,
        line: u32::try_from(span.start.line()).unwrap_or(u32::MAX),
        column: u32::try_from(span.start.col()).unwrap_or(u32::MAX).saturating_add(1),
    };
    if text.starts_with("$ANSIBLE_VAULT;") {
        return Err(Diagnostic::file_rejected(
            SourceLocation { file, line: 1, column: 1 },
            "",
            "is encrypted, and is not opened here",
        ));
    }
    let mut anchors: HashMap<usize, Rc<Tree>> = HashMap::new();
    let (mut stack, mut root, mut aliased) = (Vec::<Open>::new(), None, 0_usize);
    for event in Parser::new_from_str(text) {
        let (event, span) = event.map_err(|e| {
            let mark = e.marker();
            let location = SourceLocation { file, line: mark.line() as u32, column: mark.col() as u32 + 1 };
            Diagnostic::file_rejected(location, "", format!("is not YAML: {}", e.info()))
        })?;
        let location = place(&span);
        let done = match event {
            Event::Scalar(text, style, anchor, tag) => {
                let tag = tag.filter(|t| !t.is_yaml_core_schema()).map(|t| t.to_string());
                let node = Node::Scalar { text: text.into_owned(), plain: style == ScalarStyle::Plain, tag };
                Some((Tree { location, node, size: 1 }, anchor))
            }
            Event::Alias(anchor) => {
                let Some(known) = anchors.get(&anchor) else {
                    return Err(Diagnostic::file_rejected(
                        location,
                        "",
                        "an alias of something that is not there, or holds this",
                    ));
                };
                aliased = aliased.saturating_add(known.size);
                if aliased > MAX_ALIASED {
                    let why = format!("the aliases stand for more than {MAX_ALIASED} parts");
                    return Err(Diagnostic::file_rejected(location, "", why));
                }
                // The place is the alias's: that is where it says so of this host.
                Some((Tree { location, ..Tree::clone(known) }, 0))
            }
            Event::SequenceStart(anchor, _) | Event::MappingStart(anchor, _) => {
                if stack.len() >= MAX_DEPTH {
                    return Err(Diagnostic::file_rejected(
                        location,
                        "",
                        format!("is nested more than {MAX_DEPTH} deep"),
                    ));
                }
                let list = matches!(event, Event::SequenceStart(..));
                let node = if list { Node::List(Vec::new()) } else { Node::Map(Vec::new()) };
                stack.push(Open { location, anchor, size: 1, key: None, node });
                None
            }
            Event::SequenceEnd | Event::MappingEnd => stack.pop().map(|open| {
                let Open { location, anchor, size, mut node, .. } = open;
                if let Node::Map(pairs) = &mut node {
                    merge(pairs);
                }
                (Tree { location, node, size }, anchor)
            }),
            Event::DocumentEnd => break,
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentStart(_) => None,
        };
        let Some((tree, anchor)) = done else { continue };
        let tree = Rc::new(tree);
        if anchor != 0 {
            anchors.insert(anchor, tree.clone());
        }
        match stack.last_mut() {
            None => root = Some(tree),
            Some(open) => {
                open.size = open.size.saturating_add(tree.size);
                if open.size > MAX_NODES {
                    return Err(Diagnostic::file_rejected(
                        location,
                        "",
                        format!("has more than {MAX_NODES} parts"),
                    ));
                }
                match (&mut open.node, open.key.take()) {
                    (Node::List(list), _) => list.push(tree),
                    (Node::Map(map), Some(key)) => map.push((key, tree)),
                    (_, None) => open.key = Some(tree),
                    (Node::Scalar { .. }, Some(_)) => {}
                }
            }
        }
    }
    root.ok_or_else(|| Diagnostic::file_rejected(SourceLocation { file, line: 0, column: 0 }, "", "is empty"))
}

/// Works out `<<`, the merge key that inventories go on using (YAML 1.1, type "merge"): what a
/// mapping doesn't say itself it
/// takes from those.
fn merge(pairs: &mut Vec<(Rc<Tree>, Rc<Tree>)>) {
    let is_merge = |key: &Tree| matches!(&key.node, Node::Scalar { text, plain: true, .. } if text == "<<");
    if !pairs.iter().any(|(key, _)| is_merge(key)) {
        return;
    }
    let merged: Vec<Rc<Tree>> =
        pairs.iter().filter(|(key, _)| is_merge(key)).map(|(_, v)| v.clone()).collect();
    pairs.retain(|(key, _)| !is_merge(key));
    for source in merged {
        let maps = match &source.node {
            Node::List(list) => list.clone(),
            _ => vec![source],
        };
        for map in maps {
            let Node::Map(more) = &map.node else { continue };
            for (key, value) in more {
                let stated = pairs.iter().any(|(k, _)| k.text().is_some() && k.text() == key.text());
                if !stated {
                    // Named where the mapping takes it over.
                    let value = Tree { location: map.location, ..Tree::clone(value) };
                    pairs.push((key.clone(), Rc::new(value)));
                }
            }
        }
    }
}
