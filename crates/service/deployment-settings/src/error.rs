//! Why a settings object is rejected.

use spanlead_balancing_policy::SettingsError;
use thiserror::Error;

/// A field that holds what no deployment can mean.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field {field}: {problem}")]
pub struct InvalidField {
    /// The path of the field in the settings object, such as `grades[0].deadline`.
    pub field: String,
    /// What is wrong with it.
    pub problem: FieldProblem,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// It must be more than 0.
    #[error("must be positive")]
    NotPositive,
    /// Another class has the same name.
    #[error("is another class's name too")]
    DuplicateClassName,
    /// No deduplication scope has this name.
    #[error("unknown scope `{0}`")]
    UnknownScope(String),
    /// No effect of repeats has this name.
    #[error("unknown effect `{0}`")]
    UnknownEffect(String),
    /// No mode of discovery has this name.
    #[error("unknown mode `{0}`")]
    UnknownMode(String),
    /// The field has no such value.
    #[error("unknown value `{0}`")]
    UnknownValue(String),
    /// The balancing policy rejects the translated settings.
    #[error("{}", .0.reason())]
    RejectedByPolicy(SettingsError),
}

impl InvalidField {
    /// A problem of a field, named by its path.
    pub(crate) fn new(field: impl Into<String>, problem: FieldProblem) -> Self {
        InvalidField { field: field.into(), problem }
    }

    /// A problem of one class: `index` is its position, `field` the name of its field.
    pub(crate) fn of_class(index: usize, field: &str, problem: FieldProblem) -> Self {
        InvalidField::new(format!("grades[{index}].{field}"), problem)
    }
}

impl From<SettingsError> for InvalidField {
    /// Names the settings object's field for what the policy rejected.
    fn from(error: SettingsError) -> Self {
        let field = match error.setting() {
            "classes" => "grades",
            "classes.kind" => "familyInfo.classKind",
            "instances" => "nInstances",
            same_name => same_name,
        };
        InvalidField::new(field, FieldProblem::RejectedByPolicy(error))
    }
}
