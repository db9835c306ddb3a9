//! Guards against placement that ignores weights, depends on the order of members, or moves too
//! many flows when a member is removed.

use fes_protocol::TargetId;
use fes_routing::MaglevTable;
use fes_routing::WeightedTarget;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

fn members(weights: &[u32]) -> Vec<WeightedTarget> {
    let member = |(index, weight): (usize, &u32)| WeightedTarget {
        target: TargetId(index as u32 * 37 + 5),
        weight: *weight,
    };
    weights.iter().enumerate().map(member).collect()
}

#[rstest]
#[case(&[4, 4, 4, 4, 4, 4, 4])]
#[case(&[1, 2, 4, 1, 2, 4, 1])]
#[case(&[2; 200])]
fn shares_follow_weights(#[case] weights: &[u32]) {
    let total = f64::from(weights.iter().sum::<u32>());

    let shares = MaglevTable::build(members(weights)).shares();

    for ((_, share), weight) in shares.iter().zip(weights) {
        let expected = f64::from(*weight) / total;
        assert!(
            (share - expected).abs() <= expected * 0.1,
            "share {share}, expected {expected}"
        );
    }
}

#[test]
fn removing_one_of_seven_moves_little_more_than_its_share() {
    let before = members(&[4; 7]);
    let after = before[1..].to_vec();

    let moved = MaglevTable::build(before).moved_share(&MaglevTable::build(after));

    assert!((1.0 / 7.0..0.30).contains(&moved), "moved {moved}");
}

#[test]
fn empty_table_has_no_owner() {
    let table = MaglevTable::build(members(&[0, 0]));

    assert_eq!(table.owner(7), None);
    assert_eq!(table.candidates(7).count(), 0);
}

proptest! {
    #[test]
    fn order_of_members_does_not_matter(weights in proptest::collection::vec(1_u32..9, 1..20)) {
        let mut reversed = members(&weights);
        reversed.reverse();

        prop_assert_eq!(MaglevTable::build(members(&weights)), MaglevTable::build(reversed));
    }

    #[test]
    fn candidates_are_distinct_and_complete(
        weights in proptest::collection::vec(1_u32..9, 1..20),
        hash: u64,
    ) {
        let table = MaglevTable::build(members(&weights));

        let mut candidates: Vec<TargetId> = table.candidates(hash).collect();

        prop_assert_eq!(candidates.first().copied(), table.owner(hash));
        candidates.sort();
        prop_assert_eq!(candidates, table.targets().to_vec());
    }
}
