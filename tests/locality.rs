//! When a call may leave its failure domain.

use cornellink::process::gateway::locality::Reach;
use cornellink::process::gateway::moving_mean::MovingMeans;
use quickcheck::quickcheck;

const KIB: f64 = 1024.0;

/// Guards against short work that waits at a full domain for the sake of a few bytes, and against a
/// route that waits before the size of its responses is known.
#[test]
fn small_responses_may_come_from_any_domain() {
    for bytes in [None, Some(0.0), Some(5.0 * KIB), Some(8.0 * KIB)] {
        assert_eq!(Reach::new(bytes, 0.0), Reach::All, "{bytes:?}");
    }
}

/// Guards against large responses that cross domains although a local target becomes free within the
/// search, and against calls that stay at a full domain until it is too late to go elsewhere.
#[test]
fn large_responses_stay_for_a_part_of_the_search() {
    let at = |ratio| Reach::new(Some(90.0 * KIB), ratio);

    assert_eq!(
        [at(0.0), at(0.59), at(0.61), at(1.0)],
        [Reach::Local, Reach::Local, Reach::All, Reach::All]
    );
    assert_eq!(Reach::new(Some(36.0 * KIB), 0.29), Reach::Local);
    assert_eq!(Reach::new(Some(36.0 * KIB), 0.31), Reach::All);
}

quickcheck! {
    /// Guards against a call that may leave, and then must stay again, or for which a larger response
    /// is a reason to leave earlier.
    fn reach_grows_with_time_and_shrinks_with_size(bytes: u32, more: u16, ratio: u8, later: u8) -> bool {
        let ratio = f64::from(ratio) / 255.0;
        let later = (ratio + f64::from(later) / 255.0).min(1.0);
        let at = |bytes: f64, ratio| Reach::new(Some(bytes), ratio) == Reach::All;
        let (small, large) = (f64::from(bytes), f64::from(bytes) + f64::from(more));
        (!at(small, ratio) || at(small, later)) && (!at(large, ratio) || at(small, ratio))
    }
}

/// Guards against one odd response that decides about a route.
#[test]
fn mean_is_known_after_some_values_only() {
    let mut means = MovingMeans::default();
    let route = "r".into();

    (0..7).for_each(|_| means.add(&route, 100.0));
    assert_eq!(means.get("r"), None);
    means.add(&route, 100.0);
    assert_eq!(means.get("r"), Some(100.0));
    means.retain(|_| false);
    assert_eq!(means.get("r"), None);
}
