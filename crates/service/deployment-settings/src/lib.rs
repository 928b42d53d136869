//! The settings object that describes a deployment, as both the simulator's adapter and the program
//! in service read it.
//!
//! [`DeploymentOptions`] is the object as it is written, under the operators' names. [`Deployment`]
//! is the same after its checks: the balancing policy's
//! [`Settings`](spanlead_balancing_policy::Settings), the names behind the policy's numbers, and
//! the meaning of the unnamed values in the workers' load reports.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod deployment;
mod error;
mod load_report;
mod names;
mod options;
mod translate;

pub use deployment::{Deployment, Successor};
pub use error::{FieldProblem, InvalidField};
pub use load_report::{ReportMapping, ReportedFigures};
pub use names::{Names, index_of};
pub use options::{
    ClassOptions, DeploymentOptions, FamilyOptions, LimitOptions, PriceOptions, ReportOptions, RuleOptions,
    TenantOptions,
};
