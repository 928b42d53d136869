use super::*;

fn parts(admit: f64, seen: &[f64], worths: &[f64], work: &[f64]) -> Vec<f64> {
    let limiter = Limiter { admit, seen: seen.to_vec() };
    (0..seen.len()).map(|l| limiter.part(l, |l| worths[l] / work[l], |l| work[l])).collect()
}

// Guards the sum: whatever the classes are, the work that is taken is the admitted part of what comes.
#[test]
fn the_work_that_is_taken_adds_up() {
    let (seen, work) = ([31.0, 27.0, 22.0, 20.0], [0.6, 1.2, 3.7, 2.5]);
    for admit in [0.05, 0.2, 0.5, 0.8, 0.99] {
        let parts = parts(admit, &seen, &[1.0, 8.0, 5.0, 10.0], &work);
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
    assert_eq!(
        parts(0.4, &[1.0, 5.0], &[2.0, 2.0], &[3.0, 3.0])
            .iter()
            .map(|p| (p * 1e6).round())
            .collect::<Vec<_>>(),
        [4e5, 4e5]
    );
    assert_eq!(
        parts(0.4, &[1.0, 5.0], &[1.0, 9.0], &[0.0, 3.0]),
        [0.4, 0.4],
        "how long one runs is not known"
    );
    assert_eq!(parts(1.0, &[1.0, 5.0], &[1.0, 9.0], &[1.0, 3.0]), [1.0, 1.0]);
}

#[test]
fn no_sign_moves_it_past_its_bounds() {
    let mut limiter = Limiter::new();
    (0..10_000).for_each(|_| limiter.observe(false, 0.15));
    assert_eq!(limiter.admit, FLOOR);
    (0..10_000).for_each(|_| limiter.arrived(0));
    assert_eq!(limiter.admit, 1.0);
}
