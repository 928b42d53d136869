//! The nested form of Ansible's inventories in YAML: groups with `hosts`, `vars` and `children`,
//! and the folders `group_vars`
//! and `host_vars` beside the file.
//!
//! Which value counts is as Ansible's documentation has it ("How variables are merged",
//! "Understanding variable
//! precedence"): from the least, `all`'s variables in the file, other groups' there,
//! `group_vars/all`, `group_vars/GROUP`, the
//! host's own in the file, `host_vars/HOST`; among groups a child's before its parent's (deeper
//! counts more), among groups of
//! the same depth by `ansible_group_priority`. There Ansible lets the name that comes last in the
//! alphabet decide between
//! groups of equal standing. That is chance, not intent: here such a fact is unknown, and both
//! places are named.
use crate::mapping::ReadOptions;
use crate::plain;
use crate::ranges::expand;
use crate::source::{InventoryFiles, SourceFile};
use crate::yaml::{self, Node, Tree};
use spanlead_worker_attributes::{
    Attribute, Diagnostic, DiagnosticEffect, Precedence, RawHost, RawInventory, SourceLocation, Statement,
};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// No inventory has more groups.
const MAX_GROUPS: usize = 20_000;
/// Groups that one host may be in, their ancestors counted: what is worked out for each host is
/// bounded by it.
const MAX_ANCESTORS: usize = 256;
/// The layers of [`Precedence`], the least first.
const ALL_VARS: u8 = 1;
const GROUP_VARS: u8 = 2;
const ALL_FOLDER: u8 = 3;
const GROUP_FOLDER: u8 = 4;
const HOST_VARS: u8 = 5;
const HOST_FOLDER: u8 = 6;

#[derive(Default)]
struct Group {
    name: String,
    /// What is said of facts in the file, and in the folder beside it.
    vars: Vec<Statement>,
    folder: Vec<Statement>,
    parents: BTreeSet<usize>,
    /// Where each parent names it.
    edges: Vec<(usize, SourceLocation)>,
    priority: i32,
    depth: u16,
    /// Itself and all above it.
    ancestors: Vec<usize>,
}

struct Host {
    location: SourceLocation,
    groups: Vec<usize>,
    statements: Vec<Statement>,
}

struct Reader<'r> {
    options: &'r ReadOptions,
    raw: RawInventory,
    groups: Vec<Group>,
    by_name: HashMap<String, usize>,
    hosts: Vec<(String, Host)>,
    host_by_name: HashMap<String, usize>,
}

pub(crate) fn read(
    name: &Arc<str>,
    tree: &Tree,
    files: &InventoryFiles,
    options: &ReadOptions,
) -> RawInventory {
    let raw = RawInventory {
        files: vec![name.clone()],
        host_key: Arc::from(options.mapping.host_column()),
        ..RawInventory::default()
    };
    let mut reader = Reader {
        options,
        raw,
        groups: Vec::new(),
        by_name: HashMap::new(),
        hosts: Vec::new(),
        host_by_name: HashMap::new(),
    };
    if let Err(diagnostic) = reader.whole(tree, files) {
        reader.raw.hosts.clear();
        reader.raw.diagnostics.push(diagnostic);
    }
    reader.raw
}

impl Reader<'_> {
    fn whole(&mut self, tree: &Tree, files: &InventoryFiles) -> Result<(), Diagnostic> {
        let Node::Map(pairs) = &tree.node else {
            let why = format!("is {}, neither a list of hosts nor a mapping of groups", tree.kind());
            return Err(Diagnostic::file_rejected(tree.location, "", why));
        };
        let all = self.group_named("all", tree.location)?;
        for (key, value) in pairs {
            let Some(name) = key.text() else {
                self.warn(key.location, "", format!("a group's name is {}; it is passed over", key.kind()));
                continue;
            };
            let group = self.group_named(name, key.location)?;
            if group != all {
                self.groups[group].parents.insert(all);
            }
            self.group(group, value)?;
        }
        self.folders(files)?;
        self.ancestors()?;
        self.gather(files)
    }

    fn warn(&mut self, location: SourceLocation, key: &str, reason: String) {
        self.raw.diagnostics.push(Diagnostic {
            location,
            key: key.into(),
            reason,
            effect: DiagnosticEffect::Warning,
        });
    }

    fn left_out(&mut self, location: SourceLocation, key: &str, reason: String) {
        self.raw.diagnostics.push(Diagnostic {
            location,
            key: key.into(),
            reason,
            effect: DiagnosticEffect::LineSkipped,
        });
    }

    fn group_named(&mut self, name: &str, location: SourceLocation) -> Result<usize, Diagnostic> {
        if let Some(&known) = self.by_name.get(name) {
            return Ok(known);
        }
        if self.groups.len() >= MAX_GROUPS {
            return Err(Diagnostic::file_rejected(
                location,
                name,
                format!("there are more than {MAX_GROUPS} groups"),
            ));
        }
        let number = self.groups.len();
        self.groups.push(Group { name: name.to_owned(), ..Group::default() });
        self.by_name.insert(name.to_owned(), number);
        Ok(number)
    }

    /// What the file says of a group; it may say so in several places.
    fn group(&mut self, group: usize, tree: &Tree) -> Result<(), Diagnostic> {
        let pairs = match &tree.node {
            Node::Map(pairs) => pairs,
            _ if tree.null() => return Ok(()),
            _ => {
                let name = self.groups[group].name.clone();
                let why = format!("is {}, where a group's hosts, vars and children are wanted", tree.kind());
                return Err(Diagnostic::file_rejected(tree.location, name, why));
            }
        };
        for (key, value) in pairs {
            match (key.text(), &value.node) {
                (Some("vars" | "children" | "hosts"), _) if value.null() => {}
                (Some("vars"), Node::Map(vars)) => {
                    for (name, value) in
                        vars.iter().filter(|(k, _)| k.text() == Some("ansible_group_priority"))
                    {
                        match value.text().and_then(|t| t.trim().parse().ok()) {
                            Some(priority) => self.groups[group].priority = priority,
                            None => self.warn(
                                name.location,
                                "ansible_group_priority",
                                "is no whole number".into(),
                            ),
                        }
                    }
                    let statements = plain::statements(vars, self.options, Precedence::default());
                    self.groups[group].vars.extend(statements);
                }
                (Some("children"), Node::Map(children)) => {
                    for (name, value) in children {
                        let Some(text) = name.text() else {
                            self.warn(
                                name.location,
                                "children",
                                format!("{} is no group's name", name.kind()),
                            );
                            continue;
                        };
                        let child = self.group_named(text, name.location)?;
                        self.groups[child].parents.insert(group);
                        self.groups[child].edges.push((group, name.location));
                        self.group(child, value)?;
                    }
                }
                (Some("hosts"), Node::Map(hosts)) => {
                    for (name, value) in hosts {
                        self.host(group, name, value)?;
                    }
                }
                (Some("hosts"), Node::Scalar { .. }) => self.host(group, value, &Tree::clone(key))?,
                (Some(name @ ("vars" | "children" | "hosts")), _) => {
                    let why = format!("is {}, where a mapping is wanted", value.kind());
                    return Err(Diagnostic::file_rejected(value.location, name, why));
                }
                (name, _) => {
                    let name = name.unwrap_or("?").to_owned();
                    self.warn(
                        key.location,
                        &name,
                        "is none of hosts, vars and children; it is passed over".into(),
                    );
                }
            }
        }
        Ok(())
    }

    fn host(&mut self, group: usize, name: &Tree, vars: &Tree) -> Result<(), Diagnostic> {
        let key = self.raw.host_key.to_string();
        let Some(pattern) = name.text().filter(|_| !name.null()) else {
            self.left_out(name.location, &key, format!("is {}, not a name", name.kind()));
            return Ok(());
        };
        let precedence = Precedence { layer: HOST_VARS, ..Precedence::default() };
        let statements = match &vars.node {
            Node::Map(pairs) => plain::statements(pairs, self.options, precedence),
            Node::Scalar { .. } => Vec::new(),
            Node::List(_) => {
                self.left_out(
                    vars.location,
                    pattern,
                    "is a list, where a host's variables are wanted".into(),
                );
                return Ok(());
            }
        };
        // As Ansible has it, a name may end with a port.
        let (plain, port) = match pattern.rsplit_once(':') {
            Some((host, port))
                if !host.is_empty() && port.bytes().all(|b| b.is_ascii_digit()) && !port.is_empty() =>
            {
                (host, true)
            }
            _ => (pattern, false),
        };
        let inside = plain.rfind('[').is_some_and(|open| !plain[open..].contains(']'));
        let plain = if port && inside { pattern } else { plain };
        let names = match expand(plain, self.options.max_hosts) {
            Ok(names) => names,
            Err(why) => {
                self.left_out(name.location, &key, why);
                return Ok(());
            }
        };
        for host in names {
            let number = match self.host_by_name.get(&host) {
                Some(&known) => known,
                None => {
                    if self.hosts.len() >= self.options.max_hosts {
                        let why = format!("there are more than {} hosts", self.options.max_hosts);
                        return Err(Diagnostic::file_rejected(name.location, "", why));
                    }
                    let number = self.hosts.len();
                    self.host_by_name.insert(host.clone(), number);
                    let new = Host { location: name.location, groups: Vec::new(), statements: Vec::new() };
                    self.hosts.push((host, new));
                    number
                }
            };
            let known = &mut self.hosts[number].1;
            if !known.groups.contains(&group) {
                known.groups.push(group);
            }
            known.statements.extend(statements.iter().cloned());
        }
        Ok(())
    }

    /// Variables that stand in files beside the inventory.
    fn folders(&mut self, files: &InventoryFiles) -> Result<(), Diagnostic> {
        for number in 0..self.groups.len() {
            if let Some(texts) = files.group_vars.get(&self.groups[number].name) {
                let (statements, priority) = self.folder_items(texts, Precedence::default())?;
                self.groups[number].folder = statements;
                self.groups[number].priority = priority.unwrap_or(self.groups[number].priority);
            }
        }
        Ok(())
    }

    /// What the files of one group or host say; of several the last one counts.
    fn folder_items(
        &mut self,
        texts: &[SourceFile],
        precedence: Precedence,
    ) -> Result<(Vec<Statement>, Option<i32>), Diagnostic> {
        let (mut statements, mut priority) = (Vec::<Statement>::new(), None);
        for text in texts {
            let Ok(file) = u16::try_from(self.raw.files.len()) else {
                return Err(Diagnostic::file_rejected(
                    SourceLocation::default(),
                    "",
                    "there are too many files beside it",
                ));
            };
            self.raw.files.push(text.name.clone());
            let bytes = text.text();
            if bytes.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let tree = yaml::load(bytes, file)?;
            let Node::Map(pairs) = &tree.node else {
                if !tree.null() {
                    return Err(Diagnostic::file_rejected(
                        tree.location,
                        "",
                        format!("is {}, not variables", tree.kind()),
                    ));
                }
                continue;
            };
            let new = plain::statements(pairs, self.options, precedence);
            statements.retain(|old| {
                old.attribute == Attribute::Labels || !new.iter().any(|n| n.attribute == old.attribute)
            });
            statements.extend(new);
            let stated = pairs.iter().find(|(k, _)| k.text() == Some("ansible_group_priority"));
            priority = stated.and_then(|(_, v)| v.text()?.trim().parse().ok()).or(priority);
        }
        Ok((statements, priority))
    }

    /// Each group's depth and all that stands above it; a circle of groups is the end of the file.
    fn ancestors(&mut self) -> Result<(), Diagnostic> {
        for group in 1..self.groups.len() {
            if self.groups[group].parents.is_empty() {
                self.groups[group].parents.insert(0);
            }
        }
        // Depth first without recursion: a chain of groups may be longer than a stack is deep.
        let mut state = vec![0_u8; self.groups.len()];
        for start in 0..self.groups.len() {
            let mut path = vec![start];
            while let Some(&location) = path.last() {
                if state[location] == 2 {
                    path.pop();
                    continue;
                }
                state[location] = 1;
                let next = self.groups[location].parents.iter().copied().find(|p| state[*p] != 2);
                match next {
                    Some(next) if state[next] == 1 => {
                        let from = path.iter().position(|g| *g == next).unwrap_or(0);
                        let mut names: Vec<&str> =
                            path[from..].iter().map(|g| &*self.groups[*g].name).collect();
                        names.reverse();
                        names.push(names[0]);
                        let edge = self.groups[location].edges.iter().find(|(p, _)| *p == next);
                        let location = edge.map_or(SourceLocation::default(), |(_, location)| *location);
                        let why = format!("the groups {} stand in a circle", shown(&names));
                        return Err(Diagnostic::file_rejected(location, "children", why));
                    }
                    Some(next) => path.push(next),
                    None => {
                        state[location] = 2;
                        self.settle(location);
                        path.pop();
                    }
                }
            }
        }
        Ok(())
    }

    /// All that stands above a group is known; so is its own then.
    fn settle(&mut self, group: usize) {
        let parents: Vec<usize> = self.groups[group].parents.iter().copied().collect();
        let mut above: BTreeSet<usize> = BTreeSet::from([group]);
        for &parent in &parents {
            above.extend(self.groups[parent].ancestors.iter().copied());
        }
        let depth = parents.iter().map(|p| self.groups[*p].depth.saturating_add(1)).max().unwrap_or(0);
        self.groups[group].ancestors = above.into_iter().collect();
        self.groups[group].depth = depth;
    }

    /// What is said of each host, from all groups that it is in.
    fn gather(&mut self, files: &InventoryFiles) -> Result<(), Diagnostic> {
        for (name, host) in std::mem::take(&mut self.hosts) {
            let mut groups: BTreeSet<usize> = BTreeSet::from([0]);
            for group in &host.groups {
                groups.extend(self.groups[*group].ancestors.iter().copied());
            }
            if groups.len() > MAX_ANCESTORS {
                let why = format!("{name} is in more than {MAX_ANCESTORS} groups");
                return Err(Diagnostic::file_rejected(host.location, "hosts", why));
            }
            let mut statements = host.statements;
            for number in groups {
                let group = &self.groups[number];
                let (depth, priority) = (group.depth, group.priority);
                let layers = if number == 0 { (ALL_VARS, ALL_FOLDER) } else { (GROUP_VARS, GROUP_FOLDER) };
                for (layer, stated) in [(layers.0, &group.vars), (layers.1, &group.folder)] {
                    let precedence = Precedence { layer, depth, priority };
                    statements
                        .extend(stated.iter().map(|statement| Statement { precedence, ..statement.clone() }));
                }
            }
            if let Some(texts) = files.host_vars.get(&name) {
                let precedence = Precedence { layer: HOST_FOLDER, ..Precedence::default() };
                statements.extend(self.folder_items(texts, precedence)?.0);
            }
            self.raw.hosts.push(RawHost { host: name, location: host.location, statements });
        }
        Ok(())
    }
}

/// A few of many names.
fn shown(names: &[&str]) -> String {
    match names.len() {
        0..=8 => names.join(" > "),
        n => format!("{} > ... ({} in all) > {}", names[..4].join(" > "), n - 1, names[n - 1]),
    }
}
