//! The fraction of requests that the admission limiter admits, given arrivals and capacity signals.

use spanlead_balancing_policy::admission_limiter::{AdmissionLimiter, GroupStatistics};

/// The fraction of all requests that is admitted. It is the fraction of each group while the
/// statistics of the groups are unknown.
fn admitted_of_all(limiter: &AdmissionLimiter) -> f64 {
    limiter.admitted_fraction(0, |_| GroupStatistics { value_rate: 0.0, run_time: 0.0 })
}

/// Returns a limiter that has counted requests of `groups`, in this order and 60 times over, and
/// then signals of no free capacity until it admits a fraction of `max_admitted` at most. Also
/// returns the arrivals of each group as the limiter counts them: each request lets a hundredth of
/// them decay.
fn limiter_after<const N: usize>(groups: [usize; N], max_admitted: f64) -> (AdmissionLimiter, [f64; 4]) {
    let (mut limiter, mut arrivals) = (AdmissionLimiter::default(), [0.0; 4]);
    for group in groups.iter().cycle().take(60 * N) {
        limiter.record_arrival(*group);
        arrivals = arrivals.map(|count| count * 0.99);
        arrivals[*group] += 1.0;
    }
    while admitted_of_all(&limiter) > max_admitted {
        limiter.record_capacity_signal(false, 0.15);
    }
    (limiter, arrivals)
}

/// Guards the sum over the groups: whatever their values and run times are, the admitted work is
/// the admitted fraction of the work that arrives.
#[test]
fn admitted_work_adds_up_to_the_admitted_fraction() {
    let (values, run_times) = ([1.0, 8.0, 5.0, 10.0], [0.6, 1.2, 3.7, 2.5]);
    for max_admitted in [0.05, 0.2, 0.5, 0.8, 0.99] {
        let (limiter, arrivals) = limiter_after([0, 1, 0, 2, 1, 3, 0, 2, 1, 3], max_admitted);
        let admitted = admitted_of_all(&limiter);
        let fractions = [0, 1, 2, 3].map(|group| {
            limiter.admitted_fraction(group, |group| GroupStatistics {
                value_rate: values[group] / run_times[group],
                run_time: run_times[group],
            })
        });
        let work =
            |p: &[f64]| p.iter().zip(arrivals).zip(run_times).map(|((p, n), w)| p * n * w).sum::<f64>();
        assert!(
            (work(&fractions) / work(&[1.0; 4]) - admitted).abs() < 1e-9,
            "admitted fractions {fractions:?} do not add up to {admitted} of the work"
        );
        assert!(
            fractions.iter().all(|p| *p > 0.0 && *p <= 1.0),
            "admitted fractions not in (0, 1]: {fractions:?}"
        );
        assert!(
            fractions[1] >= fractions[3] && fractions[3] >= fractions[0] && fractions[0] >= fractions[2],
            "admitted fractions do not decrease from the most to the least valuable group: {fractions:?}"
        );
    }
}

#[test]
fn groups_with_equal_or_unknown_statistics_have_equal_admitted_fractions() {
    let (limiter, _) = limiter_after([0, 1, 1, 1, 1, 1], 0.4);
    let admitted = admitted_of_all(&limiter);
    assert!(admitted < 0.4 && admitted > 0.39, "admitted fraction {admitted}, expected 0.39 to 0.4");
    for group in [0, 1] {
        let equal =
            limiter.admitted_fraction(group, |_| GroupStatistics { value_rate: 2.0 / 3.0, run_time: 3.0 });
        assert!((equal - admitted).abs() < 1e-9, "group {group}: {equal} admitted, expected {admitted}");
        let unknown = limiter.admitted_fraction(group, |group| GroupStatistics {
            value_rate: [1.0, 3.0][group],
            run_time: [0.0, 3.0][group],
        });
        assert_eq!(unknown, admitted, "group {group}, while the run time of group 0 is unknown");
    }
    let (unlimited, _) = limiter_after([0, 1, 1, 1, 1, 1], 1.0);
    assert_eq!(
        [0, 1].map(|group| unlimited.admitted_fraction(group, |group| GroupStatistics {
            value_rate: [1.0, 3.0][group],
            run_time: [1.0, 3.0][group]
        })),
        [1.0, 1.0]
    );
}

#[test]
fn admitted_fraction_stays_between_0_05_and_1() {
    let mut limiter = AdmissionLimiter::default();
    (0..10_000).for_each(|_| limiter.record_capacity_signal(false, 0.15));
    assert_eq!(admitted_of_all(&limiter), 0.05);
    (0..10_000).for_each(|_| limiter.record_arrival(0));
    assert_eq!(admitted_of_all(&limiter), 1.0);
}
