//! Eras that the platform tells in its replies.

use fes_adapter::decode_era;
use fes_passthrough_node::ReplyEra;
use rstest::rstest;

/// Guards against an era that is missing, unreadable, far ahead or going back, by which a reader would
/// stop following the list, follow a former history, or never believe the true era again.
#[rstest]
#[case::none_was_ever_told(0, None, ReplyEra::Current(0))]
#[case::first_one(0, Some("7"), ReplyEra::Later(7))]
#[case::same(7, Some("7"), ReplyEra::Current(7))]
#[case::spaces(7, Some(" 7 "), ReplyEra::Current(7))]
#[case::next(7, Some("8"), ReplyEra::Later(8))]
#[case::some_were_missed(7, Some("10"), ReplyEra::Later(10))]
#[case::back(7, Some("6"), ReplyEra::Former(6))]
#[case::back_to_none(7, Some("0"), ReplyEra::Former(0))]
#[case::missing(7, None, ReplyEra::Unreadable(7))]
#[case::empty(7, Some(""), ReplyEra::Unreadable(7))]
#[case::not_a_number(7, Some("seven"), ReplyEra::Unreadable(7))]
#[case::negative(7, Some("-8"), ReplyEra::Unreadable(7))]
#[case::fraction(7, Some("7.5"), ReplyEra::Unreadable(7))]
#[case::far_ahead(7, Some("2000"), ReplyEra::Unreadable(7))]
#[case::out_of_range(7, Some("99999999999999999999999"), ReplyEra::Unreadable(7))]
fn an_era_is_believed_only_if_it_follows(
    #[case] known: u16,
    #[case] header: Option<&str>,
    #[case] expected: ReplyEra,
) {
    let told = header.and_then(|value| decode_era(value.as_bytes()));

    let era = ReplyEra::of(known, told);

    assert_eq!(era, expected);
}
