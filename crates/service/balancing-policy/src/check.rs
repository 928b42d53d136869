//! Which settings make sense.
use crate::api::*;

/// The first setting that makes none.
pub fn check(set: &Settings) -> Result<(), SettingsError> {
    let fail = |setting, reason| Err(SettingsError { setting, reason });
    let bad = |x: f64| !x.is_finite() || x < 0.0;
    if set.classes.is_empty() {
        return fail("classes", "names no class");
    }
    for class in &set.classes {
        if bad(class.worth) || bad(class.late_share) || bad(class.stretch) {
            return fail("classes", "has a negative or non-finite figure");
        }
        if class.kind.is_some_and(|k| k >= set.kinds.max(1)) {
            return fail("classes.kind", "names a machine kind that is not there");
        }
    }
    let p = &set.prices;
    let prices = [p.cross_zone, p.waste, p.connection, p.handshake, p.origin, p.probe, p.peer, p.late_fail];
    if prices.into_iter().any(bad) {
        return fail("prices", "has a negative or non-finite figure");
    }
    let r = &set.rules;
    if bad(r.cold_from) || bad(r.tip_multiple) {
        return fail("rules", "has a negative or non-finite figure");
    }
    if set.tenants.iter().any(|t| bad(t.quota_per_s)) || bad(set.over_share_worth) {
        return fail("tenants", "has a negative or non-finite figure");
    }
    if set.instances == 0 || set.me >= set.instances {
        return fail("instances", "does not cover this dispatcher's number");
    }
    Ok(())
}
