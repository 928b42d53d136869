//! The fraction of requests that is admitted, seen from outside: by arrivals and by capacity
//! signals.

use spanlead_balancing_policy::admission_limiter::{AdmissionLimiter, GroupStatistics};

/// The fraction of all requests that is admitted: that of each group while nothing tells the groups
/// apart.
fn admitted_of_all(limiter: &AdmissionLimiter) -> f64 {
    limiter.admitted_fraction(0, |_| GroupStatistics { value_rate: 0.0, run_time: 0.0 })
}

/// A limiter that has seen requests of these groups, one by one and again and again, and then
/// signals of no free capacity until it admits no more than `most`; and the arrivals of each group
/// that it remembers: a hundredth is forgotten with each request.
fn limiter_after<const N: usize>(groups: [usize; N], most: f64) -> (AdmissionLimiter, [f64; 4]) {
    let (mut limiter, mut arrivals) = (AdmissionLimiter::default(), [0.0; 4]);
    for group in groups.iter().cycle().take(60 * N) {
        limiter.record_arrival(*group);
        arrivals = arrivals.map(|count| count * 0.99);
        arrivals[*group] += 1.0;
    }
    while admitted_of_all(&limiter) > most {
        limiter.record_capacity_signal(false, 0.15);
    }
    (limiter, arrivals)
}

/// Guards the sum: whatever the classes are, the admitted work is the admitted fraction of what
/// arrives.
#[test]
fn admitted_work_adds_up_to_the_admitted_fraction() {
    let (values, run_times) = ([1.0, 8.0, 5.0, 10.0], [0.6, 1.2, 3.7, 2.5]);
    for most in [0.05, 0.2, 0.5, 0.8, 0.99] {
        let (limiter, arrivals) = limiter_after([0, 1, 0, 2, 1, 3, 0, 2, 1, 3], most);
        let admitted = admitted_of_all(&limiter);
        let fractions = [0, 1, 2, 3].map(|group| {
            limiter.admitted_fraction(group, |group| GroupStatistics {
                value_rate: values[group] / run_times[group],
                run_time: run_times[group],
            })
        });
        let work =
            |p: &[f64]| p.iter().zip(arrivals).zip(run_times).map(|((p, n), w)| p * n * w).sum::<f64>();
        assert!((work(&fractions) / work(&[1.0; 4]) - admitted).abs() < 1e-9, "{admitted}: {fractions:?}");
        assert!(fractions.iter().all(|p| *p > 0.0 && *p <= 1.0), "{fractions:?}");
        assert!(
            fractions[1] >= fractions[3] && fractions[3] >= fractions[0] && fractions[0] >= fractions[2],
            "the most valuable first: {fractions:?}"
        );
    }
}

#[test]
fn groups_are_admitted_alike_where_nothing_tells_them_apart() {
    let (some, _) = limiter_after([0, 1, 1, 1, 1, 1], 0.4);
    let admitted = admitted_of_all(&some);
    assert!(admitted < 0.4 && admitted > 0.39, "{admitted}");
    for group in [0, 1] {
        let alike =
            some.admitted_fraction(group, |_| GroupStatistics { value_rate: 2.0 / 3.0, run_time: 3.0 });
        assert!((alike - admitted).abs() < 1e-9, "{alike}");
        let unknown = some.admitted_fraction(group, |group| GroupStatistics {
            value_rate: [1.0, 3.0][group],
            run_time: [0.0, 3.0][group],
        });
        assert_eq!(unknown, admitted, "the run time of one group is not known");
    }
    let (all, _) = limiter_after([0, 1, 1, 1, 1, 1], 1.0);
    assert_eq!(
        [0, 1].map(|group| all.admitted_fraction(group, |group| GroupStatistics {
            value_rate: [1.0, 3.0][group],
            run_time: [1.0, 3.0][group]
        })),
        [1.0, 1.0]
    );
}

#[test]
fn no_signal_moves_the_admitted_fraction_past_its_bounds() {
    let mut limiter = AdmissionLimiter::default();
    (0..10_000).for_each(|_| limiter.record_capacity_signal(false, 0.15));
    assert_eq!(admitted_of_all(&limiter), 0.05);
    (0..10_000).for_each(|_| limiter.record_arrival(0));
    assert_eq!(admitted_of_all(&limiter), 1.0);
}
