//! Which settings are rejected.

mod common;

use common::default_settings;
use spanlead_balancing_policy::{Dispatcher, Idempotency, Settings};

#[test]
fn invalid_settings_are_named() {
    let good = default_settings(Idempotency::Idempotent);
    let mut none = good.clone();
    none.classes.clear();
    let mut negative = good.clone();
    negative.prices.wasted_work = -1.0;
    let mut infinite = good.clone();
    infinite.rules.overload_multiple = f64::INFINITY;
    let mut machine_kind = good.clone();
    machine_kind.classes[0].machine_kind = Some(9);
    let number = Settings { instance: 4, ..good };
    let cases =
        [(none, "classes"), (negative, "prices"), (infinite, "rules"), (machine_kind, "classes.kind")];
    for (settings, name) in cases.into_iter().chain([(number, "instances")]) {
        let error = Dispatcher::new(settings, 1).map(drop).expect_err(name);
        assert_eq!(error.setting(), name);
        assert!(error.to_string().contains(name));
    }
}
