//! Which settings a dispatcher rejects, and which setting the error names.

mod common;

use common::default_settings;
use spanlead_balancing_policy::{Dispatcher, Idempotency, Settings};

#[test]
fn error_names_the_invalid_setting() {
    let valid = default_settings(Idempotency::Idempotent);
    let mut no_classes = valid.clone();
    no_classes.classes.clear();
    let mut negative_price = valid.clone();
    negative_price.prices.wasted_work = -1.0;
    let mut infinite_multiple = valid.clone();
    infinite_multiple.rules.overload_multiple = f64::INFINITY;
    let mut unknown_machine_kind = valid.clone();
    unknown_machine_kind.classes[0].machine_kind = Some(9);
    let instance_out_of_range = Settings { instance: 4, ..valid };
    let cases = [
        (no_classes, "classes"),
        (negative_price, "prices"),
        (infinite_multiple, "rules"),
        (unknown_machine_kind, "classes.kind"),
        (instance_out_of_range, "instances"),
    ];
    for (settings, name) in cases {
        let error = Dispatcher::new(settings, 1).map(drop).expect_err(name);
        assert_eq!(error.setting(), name);
        assert!(error.to_string().contains(name));
    }
}
