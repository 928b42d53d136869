//! Which column or key is which fact.
use spanlead_conf_file::Delimiter;
use spanlead_worker_attributes::Fact;

/// The names that a host's column or key has where nothing else is set.
const HOST: [&str; 3] = ["host", "hostname", "name"];

/// The form of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A table.
    Csv,
    /// One of the two forms of YAML, by its shape.
    Yaml,
    /// A list of hosts in YAML.
    Hosts,
    /// Groups in YAML, as Ansible keeps them.
    Ansible,
}

/// What a column or key is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A fact.
    Fact(Fact),
    /// A label of that name.
    Label(String),
}

/// Which column or key is which fact.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mapping {
    /// The host's, if it is set.
    pub host: Option<String>,
    /// Those that are set; the others are sought under the fact's own name.
    pub set: Vec<(Target, String)>,
}

impl Mapping {
    /// What a column or key is, if it is anything. Names are compared without regard to case.
    pub fn target(&self, key: &str) -> Option<Target> {
        if let Some((target, _)) = self.set.iter().find(|(_, k)| k.eq_ignore_ascii_case(key)) {
            return Some(target.clone());
        }
        let fact = Fact::ALL.into_iter().find(|f| f.name().eq_ignore_ascii_case(key))?;
        let elsewhere = self.set.iter().any(|(t, _)| *t == Target::Fact(fact));
        (!elsewhere).then_some(Target::Fact(fact))
    }

    /// Whether a column or key is the host's.
    pub fn is_host(&self, key: &str) -> bool {
        match &self.host {
            Some(host) => host.eq_ignore_ascii_case(key),
            None => HOST.iter().any(|h| h.eq_ignore_ascii_case(key)),
        }
    }

    /// The host's column or key, for messages.
    pub fn host_name(&self) -> &str {
        self.host.as_deref().unwrap_or(HOST[0])
    }
}

/// How a file is read.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// Its form; by its name's ending where that is not set.
    pub form: Option<Form>,
    /// What stands between fields.
    pub delimiter: Delimiter,
    /// Which column or key is which fact.
    pub mapping: Mapping,
    /// The most hosts.
    pub hosts: usize,
}

impl Default for Reading {
    fn default() -> Self {
        Reading { form: None, delimiter: Delimiter::Auto, mapping: Mapping::default(), hosts: 100_000 }
    }
}

impl Reading {
    /// The form of a file of that name.
    pub fn form_of(&self, name: &str) -> Form {
        let ending = name.rsplit('.').next().unwrap_or("").to_ascii_lowercase();
        let by_ending = || if matches!(&*ending, "yml" | "yaml" | "json") { Form::Yaml } else { Form::Csv };
        self.form.unwrap_or_else(by_ending)
    }
}
