//! What part of the requests is taken, seen from outside: by what comes and by the signs of room.
use spanlead_balancing_policy::admission_limiter::{AdmissionLimiter, GroupFigures};

/// The admitted part of all: what is taken of each lot while nothing tells the lots apart.
fn admitted(limiter: &AdmissionLimiter) -> f64 {
    limiter.admitted_fraction(0, |_| GroupFigures { value_rate: 0.0, run_time: 0.0 })
}

/// A limiter that has seen these lots, one by one and again and again, and then signs that there is no room until it admits no more than
/// this; and how much of each lot it remembers: a hundredth is forgotten with each request.
fn limiter<const N: usize>(lots: [usize; N], admit: f64) -> (AdmissionLimiter, [f64; 4]) {
    let (mut limiter, mut seen) = (AdmissionLimiter::default(), [0.0; 4]);
    for lot in lots.iter().cycle().take(60 * N) {
        limiter.record_arrival(*lot);
        seen = seen.map(|n| n * 0.99);
        seen[*lot] += 1.0;
    }
    while admitted(&limiter) > admit {
        limiter.record_capacity_signal(false, 0.15);
    }
    (limiter, seen)
}

// Guards the sum: whatever the classes are, the work that is taken is the admitted part of what comes.
#[test]
fn the_work_that_is_taken_adds_up() {
    let (worths, work) = ([1.0, 8.0, 5.0, 10.0], [0.6, 1.2, 3.7, 2.5]);
    for admit in [0.05, 0.2, 0.5, 0.8, 0.99] {
        let (limiter, seen) = limiter([0, 1, 0, 2, 1, 3, 0, 2, 1, 3], admit);
        let admit = admitted(&limiter);
        let parts = [0, 1, 2, 3].map(|lot| {
            limiter.admitted_fraction(lot, |l| GroupFigures {
                value_rate: worths[l] / work[l],
                run_time: work[l],
            })
        });
        let load = |p: &[f64]| p.iter().zip(seen).zip(work).map(|((p, n), w)| p * n * w).sum::<f64>();
        assert!((load(&parts) / load(&[1.0; 4]) - admit).abs() < 1e-9, "{admit}: {parts:?}");
        assert!(parts.iter().all(|p| *p > 0.0 && *p <= 1.0), "{parts:?}");
        assert!(
            parts[1] >= parts[3] && parts[3] >= parts[0] && parts[0] >= parts[2],
            "the dearest first: {parts:?}"
        );
    }
}

#[test]
fn all_are_taken_alike_where_nothing_tells_them_apart() {
    let (some, _) = limiter([0, 1, 1, 1, 1, 1], 0.4);
    let admit = admitted(&some);
    assert!(admit < 0.4 && admit > 0.39, "{admit}");
    for lot in [0, 1] {
        let alike = some.admitted_fraction(lot, |_| GroupFigures { value_rate: 2.0 / 3.0, run_time: 3.0 });
        assert!((alike - admit).abs() < 1e-9, "{alike}");
        let unknown = some
            .admitted_fraction(lot, |l| GroupFigures { value_rate: [1.0, 3.0][l], run_time: [0.0, 3.0][l] });
        assert_eq!(unknown, admit, "how long one runs is not known");
    }
    let (all, _) = limiter([0, 1, 1, 1, 1, 1], 1.0);
    assert_eq!(
        [0, 1].map(|lot| all
            .admitted_fraction(lot, |l| GroupFigures { value_rate: [1.0, 3.0][l], run_time: [1.0, 3.0][l] })),
        [1.0, 1.0]
    );
}

#[test]
fn no_sign_moves_it_past_its_bounds() {
    let mut limiter = AdmissionLimiter::default();
    (0..10_000).for_each(|_| limiter.record_capacity_signal(false, 0.15));
    assert_eq!(admitted(&limiter), 0.05);
    (0..10_000).for_each(|_| limiter.record_arrival(0));
    assert_eq!(admitted(&limiter), 1.0);
}
