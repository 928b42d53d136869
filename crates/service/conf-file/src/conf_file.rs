//! The file as a whole: its sections, and what they must not contradict.
use crate::durable_log::DurableLogSettings;
use crate::inventory::InventorySettings;
use crate::lines::{Section, sections};
use crate::log::LogSettings;
use crate::membership::MembershipSettings;
use crate::problem::{ConfFileErrors, Problem};
use crate::roles::{RoleLeaseSettings, RoleSettings};
use crate::section_reader::SectionReader;
use std::path::Path;

/// A larger file was named by mistake.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// The sections that there are, as operators are shown them.
const SECTIONS: [&str; 6] = ["log", "ledger", "inventory", "membership", "leases", "duty"];
/// The sections of which there may be several, each with a name.
const NAMED_SECTIONS: [&str; 2] = ["inventory", "duty"];

/// All settings of an operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfFile {
    /// How the program's log is written.
    pub log: LogSettings,
    /// The durable log of jobs (section `ledger`); without it no job survives a crash.
    pub durable_log: Option<DurableLogSettings>,
    /// Inventories; an earlier one takes precedence over a later one.
    pub inventories: Vec<InventorySettings>,
    /// The membership of schedulers; without it no datagram is sent.
    pub membership: Option<MembershipSettings>,
    /// How singleton roles are leased, if there are any (section `leases`).
    pub role_leases: RoleLeaseSettings,
    /// The singleton roles (sections `duty`).
    pub roles: Vec<RoleSettings>,
}

/// Reads and checks a file.
///
/// # Errors
/// All problems of the file together; a file that cannot be read has one, on line 0.
pub fn read(path: &Path) -> Result<ConfFile, ConfFileErrors> {
    let file = path.display().to_string();
    let unreadable = |reason: String| {
        let problem = Problem { file: file.clone(), line: 0, keyword: String::new(), reason };
        ConfFileErrors(vec![problem])
    };
    let metadata = std::fs::metadata(path).map_err(|error| unreadable(error.to_string()))?;
    if !metadata.is_file() {
        return Err(unreadable("is not a file".into()));
    }
    if metadata.len() > MAX_FILE_BYTES {
        return Err(unreadable(format!("is larger than {MAX_FILE_BYTES} bytes")));
    }
    let bytes = std::fs::read(path).map_err(|error| unreadable(error.to_string()))?;
    parse(&file, &bytes)
}

/// Parses and checks the content of a file; `file` is its name in messages.
///
/// # Errors
/// All problems of the file together.
pub fn parse(file: &str, bytes: &[u8]) -> Result<ConfFile, ConfFileErrors> {
    let mut problems = Vec::new();
    let mut conf = ConfFile::default();
    let mut seen: Vec<&Section> = Vec::new();
    let sections = sections(file, bytes, &mut problems);
    for section in &sections {
        let mut reader = SectionReader::new(file, section, &mut problems);
        if let Some(first) = seen.iter().find(|other| is_same_section(other, section)) {
            reader.report_section(format_args!("the section stands on line {} already", first.line));
            continue;
        }
        seen.push(section);
        conf.read_section(&section.name, reader);
    }
    problems.extend(conf.missing_membership());
    problems.sort_by_key(|problem| problem.line);
    if problems.is_empty() { Ok(conf) } else { Err(ConfFileErrors(problems)) }
}

fn is_same_section(first: &Section, second: &Section) -> bool {
    let is_named = NAMED_SECTIONS.contains(&second.name.as_str());
    first.name == second.name && (!is_named || first.arguments == second.arguments)
}

impl ConfFile {
    fn read_section(&mut self, name: &str, mut section: SectionReader<'_>) {
        if !SECTIONS.contains(&name) {
            return section.report_unknown_section(&SECTIONS);
        }
        if !NAMED_SECTIONS.contains(&name) {
            section.expect_no_name();
        }
        match name {
            "log" => self.log = LogSettings::read(&mut section),
            "ledger" => self.durable_log = DurableLogSettings::read(&mut section),
            "inventory" => self.inventories.extend(InventorySettings::read(&mut section)),
            "membership" => self.membership = Some(MembershipSettings::read(&mut section)),
            "leases" => self.role_leases = RoleLeaseSettings::read(&mut section),
            _ => self.roles.extend(RoleSettings::read(&mut section)),
        }
        section.finish();
    }

    /// Roles are leased by datagrams of the membership, so they need that section.
    fn missing_membership(&self) -> Option<Problem> {
        let role = self.roles.first().filter(|_| self.membership.is_none())?;
        Some(Problem {
            file: role.location.file.clone(),
            line: role.location.line,
            keyword: "duty".into(),
            reason: "needs the section `membership`: duties are granted by its datagrams".into(),
        })
    }
}
