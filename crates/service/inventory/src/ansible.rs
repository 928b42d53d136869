//! The nested form of Ansible's inventories in YAML: groups with `hosts`, `vars` and `children`, and the folders `group_vars`
//! and `host_vars` beside the file.
//!
//! Which value counts is as Ansible's documentation has it ("How variables are merged", "Understanding variable
//! precedence"): from the least, `all`'s variables in the file, other groups' there, `group_vars/all`, `group_vars/GROUP`, the
//! host's own in the file, `host_vars/HOST`; among groups a child's before its parent's (deeper counts more), among groups of
//! the same depth by `ansible_group_priority`. There Ansible lets the name that comes last in the alphabet decide between
//! groups of equal standing. That is chance, not intent: here such a fact is unknown, and both places are named.
use crate::mapping::Reading;
use crate::plain;
use crate::ranges::expand;
use crate::yaml::{self, Node, Tree};
use crate::{Bundle, Text};
use spanlead_worker_attributes::{Done, Fact, Item, Place, Rank, Raw, RawFile, Refusal};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// No inventory has more groups.
const MAX_GROUPS: usize = 20_000;
/// Groups that one host may be in, their ancestors counted: what is worked out for each host is bounded by it.
const MAX_ANCESTORS: usize = 256;
/// The layers of [`Rank`], the least first.
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
    vars: Vec<Item>,
    folder: Vec<Item>,
    parents: BTreeSet<usize>,
    /// Where each parent names it.
    edges: Vec<(usize, Place)>,
    priority: i32,
    depth: u16,
    /// Itself and all above it.
    ancestors: Vec<usize>,
}

struct Host {
    at: Place,
    groups: Vec<usize>,
    items: Vec<Item>,
}

struct Reader<'r> {
    reading: &'r Reading,
    raw: RawFile,
    groups: Vec<Group>,
    by_name: HashMap<String, usize>,
    hosts: Vec<(String, Host)>,
    host_by_name: HashMap<String, usize>,
}

pub(crate) fn read(name: &Arc<str>, tree: &Tree, bundle: &Bundle, reading: &Reading) -> RawFile {
    let raw = RawFile {
        files: vec![name.clone()],
        host_key: Arc::from(reading.mapping.host_name()),
        ..RawFile::default()
    };
    let mut reader = Reader {
        reading,
        raw,
        groups: Vec::new(),
        by_name: HashMap::new(),
        hosts: Vec::new(),
        host_by_name: HashMap::new(),
    };
    if let Err(refusal) = reader.whole(tree, bundle) {
        reader.raw.hosts.clear();
        reader.raw.refusals.push(refusal);
    }
    reader.raw
}

impl Reader<'_> {
    fn whole(&mut self, tree: &Tree, bundle: &Bundle) -> Result<(), Refusal> {
        let Node::Map(pairs) = &tree.node else {
            let why = format!("is {}, neither a list of hosts nor a mapping of groups", tree.kind());
            return Err(Refusal::whole(tree.at, "", why));
        };
        let all = self.group_named("all", tree.at)?;
        for (key, value) in pairs {
            let Some(name) = key.text() else {
                self.warn(key.at, "", format!("a group's name is {}; it is passed over", key.kind()));
                continue;
            };
            let group = self.group_named(name, key.at)?;
            if group != all {
                self.groups[group].parents.insert(all);
            }
            self.group(group, value)?;
        }
        self.folders(bundle)?;
        self.ancestors()?;
        self.gather(bundle)
    }

    fn warn(&mut self, at: Place, key: &str, reason: String) {
        self.raw.refusals.push(Refusal { at, key: key.into(), reason, done: Done::Nothing });
    }

    fn left_out(&mut self, at: Place, key: &str, reason: String) {
        self.raw.refusals.push(Refusal { at, key: key.into(), reason, done: Done::LineLeftOut });
    }

    fn group_named(&mut self, name: &str, at: Place) -> Result<usize, Refusal> {
        if let Some(&known) = self.by_name.get(name) {
            return Ok(known);
        }
        if self.groups.len() >= MAX_GROUPS {
            return Err(Refusal::whole(at, name, format!("there are more than {MAX_GROUPS} groups")));
        }
        let number = self.groups.len();
        self.groups.push(Group { name: name.to_owned(), ..Group::default() });
        self.by_name.insert(name.to_owned(), number);
        Ok(number)
    }

    /// What the file says of a group; it may say so in several places.
    fn group(&mut self, group: usize, tree: &Tree) -> Result<(), Refusal> {
        let pairs = match &tree.node {
            Node::Map(pairs) => pairs,
            _ if tree.null() => return Ok(()),
            _ => {
                let name = self.groups[group].name.clone();
                let why = format!("is {}, where a group's hosts, vars and children are wanted", tree.kind());
                return Err(Refusal::whole(tree.at, name, why));
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
                            None => self.warn(name.at, "ansible_group_priority", "is no whole number".into()),
                        }
                    }
                    let items = plain::items(vars, self.reading, Rank::default());
                    self.groups[group].vars.extend(items);
                }
                (Some("children"), Node::Map(children)) => {
                    for (name, value) in children {
                        let Some(text) = name.text() else {
                            self.warn(name.at, "children", format!("{} is no group's name", name.kind()));
                            continue;
                        };
                        let child = self.group_named(text, name.at)?;
                        self.groups[child].parents.insert(group);
                        self.groups[child].edges.push((group, name.at));
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
                    return Err(Refusal::whole(value.at, name, why));
                }
                (name, _) => {
                    let name = name.unwrap_or("?").to_owned();
                    self.warn(key.at, &name, "is none of hosts, vars and children; it is passed over".into());
                }
            }
        }
        Ok(())
    }

    fn host(&mut self, group: usize, name: &Tree, vars: &Tree) -> Result<(), Refusal> {
        let key = self.raw.host_key.to_string();
        let Some(pattern) = name.text().filter(|_| !name.null()) else {
            self.left_out(name.at, &key, format!("is {}, not a name", name.kind()));
            return Ok(());
        };
        let rank = Rank { layer: HOST_VARS, ..Rank::default() };
        let items = match &vars.node {
            Node::Map(pairs) => plain::items(pairs, self.reading, rank),
            Node::Scalar { .. } => Vec::new(),
            Node::List(_) => {
                self.left_out(vars.at, pattern, "is a list, where a host's variables are wanted".into());
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
        let names = match expand(plain, self.reading.hosts) {
            Ok(names) => names,
            Err(why) => {
                self.left_out(name.at, &key, why);
                return Ok(());
            }
        };
        for host in names {
            let number = match self.host_by_name.get(&host) {
                Some(&known) => known,
                None => {
                    if self.hosts.len() >= self.reading.hosts {
                        let why = format!("there are more than {} hosts", self.reading.hosts);
                        return Err(Refusal::whole(name.at, "", why));
                    }
                    let number = self.hosts.len();
                    self.host_by_name.insert(host.clone(), number);
                    let new = Host { at: name.at, groups: Vec::new(), items: Vec::new() };
                    self.hosts.push((host, new));
                    number
                }
            };
            let known = &mut self.hosts[number].1;
            if !known.groups.contains(&group) {
                known.groups.push(group);
            }
            known.items.extend(items.iter().cloned());
        }
        Ok(())
    }

    /// Variables that stand in files beside the inventory.
    fn folders(&mut self, bundle: &Bundle) -> Result<(), Refusal> {
        for number in 0..self.groups.len() {
            if let Some(texts) = bundle.group_vars.get(&self.groups[number].name) {
                let (items, priority) = self.folder_items(texts, Rank::default())?;
                self.groups[number].folder = items;
                self.groups[number].priority = priority.unwrap_or(self.groups[number].priority);
            }
        }
        Ok(())
    }

    /// What the files of one group or host say; of several the last one counts.
    fn folder_items(&mut self, texts: &[Text], rank: Rank) -> Result<(Vec<Item>, Option<i32>), Refusal> {
        let (mut items, mut priority) = (Vec::<Item>::new(), None);
        for text in texts {
            let Ok(file) = u16::try_from(self.raw.files.len()) else {
                return Err(Refusal::whole(Place::default(), "", "there are too many files beside it"));
            };
            self.raw.files.push(text.name.clone());
            let bytes = text.bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(&text.bytes);
            if bytes.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let tree = yaml::load(bytes, file)?;
            let Node::Map(pairs) = &tree.node else {
                if !tree.null() {
                    return Err(Refusal::whole(tree.at, "", format!("is {}, not variables", tree.kind())));
                }
                continue;
            };
            let new = plain::items(pairs, self.reading, rank);
            items.retain(|old| old.fact == Fact::Labels || !new.iter().any(|n| n.fact == old.fact));
            items.extend(new);
            let said = pairs.iter().find(|(k, _)| k.text() == Some("ansible_group_priority"));
            priority = said.and_then(|(_, v)| v.text()?.trim().parse().ok()).or(priority);
        }
        Ok((items, priority))
    }

    /// Each group's depth and all that stands above it; a circle of groups is the end of the file.
    fn ancestors(&mut self) -> Result<(), Refusal> {
        for group in 1..self.groups.len() {
            if self.groups[group].parents.is_empty() {
                self.groups[group].parents.insert(0);
            }
        }
        // Depth first without recursion: a chain of groups may be longer than a stack is deep.
        let mut state = vec![0_u8; self.groups.len()];
        for start in 0..self.groups.len() {
            let mut path = vec![start];
            while let Some(&at) = path.last() {
                if state[at] == 2 {
                    path.pop();
                    continue;
                }
                state[at] = 1;
                let next = self.groups[at].parents.iter().copied().find(|p| state[*p] != 2);
                match next {
                    Some(next) if state[next] == 1 => {
                        let from = path.iter().position(|g| *g == next).unwrap_or(0);
                        let mut names: Vec<&str> =
                            path[from..].iter().map(|g| &*self.groups[*g].name).collect();
                        names.reverse();
                        names.push(names[0]);
                        let edge = self.groups[at].edges.iter().find(|(p, _)| *p == next);
                        let at = edge.map_or(Place::default(), |(_, at)| *at);
                        let why = format!("the groups {} stand in a circle", shown(&names));
                        return Err(Refusal::whole(at, "children", why));
                    }
                    Some(next) => path.push(next),
                    None => {
                        state[at] = 2;
                        self.settle(at);
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
    fn gather(&mut self, bundle: &Bundle) -> Result<(), Refusal> {
        for (name, host) in std::mem::take(&mut self.hosts) {
            let mut groups: BTreeSet<usize> = BTreeSet::from([0]);
            for group in &host.groups {
                groups.extend(self.groups[*group].ancestors.iter().copied());
            }
            if groups.len() > MAX_ANCESTORS {
                let why = format!("{name} is in more than {MAX_ANCESTORS} groups");
                return Err(Refusal::whole(host.at, "hosts", why));
            }
            let mut items = host.items;
            for number in groups {
                let group = &self.groups[number];
                let (depth, priority) = (group.depth, group.priority);
                let layers = if number == 0 { (ALL_VARS, ALL_FOLDER) } else { (GROUP_VARS, GROUP_FOLDER) };
                for (layer, said) in [(layers.0, &group.vars), (layers.1, &group.folder)] {
                    let rank = Rank { layer, depth, priority };
                    items.extend(said.iter().map(|item| Item { rank, ..item.clone() }));
                }
            }
            if let Some(texts) = bundle.host_vars.get(&name) {
                let rank = Rank { layer: HOST_FOLDER, ..Rank::default() };
                items.extend(self.folder_items(texts, rank)?.0);
            }
            self.raw.hosts.push(Raw { host: name, at: host.at, items });
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
