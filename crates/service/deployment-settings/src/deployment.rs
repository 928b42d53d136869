//! A deployment's settings, checked and translated.

use crate::error::InvalidField;
use crate::load_report::ReportMapping;
use crate::names::{MergedNames, Names};
use crate::options::DeploymentOptions;
use crate::translate::translate;
use spanlead_balancing_policy::Settings;

/// A deployment's settings, checked and translated.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The settings of the balancing policy.
    pub settings: Settings,
    /// The names behind the numbers in the settings.
    pub names: Names,
    /// What the unnamed values of load reports mean.
    pub report_mapping: ReportMapping,
}

/// Settings that replace earlier ones while requests are open, see [`Deployment::succeed`].
#[derive(Clone, Debug, PartialEq)]
pub struct Successor {
    /// The new settings, renumbered.
    pub deployment: Deployment,
    /// For each new class the earlier class that it continues: the one of the same name.
    pub continues: Vec<Option<u32>>,
}

impl Deployment {
    /// Translates the settings object.
    ///
    /// # Errors
    /// If a field holds what no deployment can mean; the error names the field.
    pub fn from_options(options: DeploymentOptions) -> Result<Self, InvalidField> {
        let settings = translate(&options)?;
        let family = &options.family;
        let report_mapping = ReportMapping::of(family.report_x0.as_deref(), family.report_x1.as_deref());
        let names = Names {
            classes: options.classes.into_iter().map(|class| class.name).collect(),
            first_current_class: 0,
            tenants: options.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: options.zones,
            kinds: options.kinds,
        };
        Ok(Deployment { settings, names, report_mapping })
    }

    /// These settings in place of those that `earlier` belongs to: every number in use keeps its
    /// meaning.
    #[must_use]
    pub fn succeed(self, earlier: &Names) -> Successor {
        let Deployment { mut settings, mut names, report_mapping } = self;
        let continues = names.classes.iter().map(|name| earlier.class_index(name)).collect();
        let kinds = MergedNames::of(&earlier.kinds, names.kinds);
        let zones = MergedNames::of(&earlier.zones, names.zones);
        for class in &mut settings.classes {
            class.machine_kind = class.machine_kind.map(|kind| kinds.renumber(kind));
        }
        settings.machine_kind_count = kinds.names.len() as u32;
        settings.zone = zones.renumber(settings.zone);
        names.kinds = kinds.names;
        names.zones = zones.names;
        names.first_current_class = earlier.classes.len();
        names.classes.splice(0..0, earlier.classes.iter().cloned());
        Successor { deployment: Deployment { settings, names, report_mapping }, continues }
    }
}
