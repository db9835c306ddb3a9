//! Guards against accepting an invalid ticket, and against reporting only some of its faults.

use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use fes_tickets::MAX_TICKET_BYTES;
use fes_tickets::TicketFormat;
use fes_tickets::TicketWire;
use fes_tickets::decode_ticket;
use fes_tickets::encode_ticket;
use fes_tickets::parse_ticket;
use rstest::rstest;

fn service(id: u32, target: u32) -> String {
    format!(
        r#"{{"id": {id}, "name": "service-{id}", "state": "active",
            "addresses": ["192.0.2.{id}:443"], "data_centres": ["a"], "upstreams": [
            {{"target": {target}, "name": "one", "vm": "vm-1", "data_centre": "a",
              "agent_address": "10.0.0.{target}:7000", "link_address": "10.0.0.{target}:7001",
              "slots": 4, "state": "active"}}]}}"#
    )
}

fn faults_of(text: &str) -> Vec<(ResultCode, String)> {
    let faults = parse_ticket(text, TicketFormat::Json).expect_err("the ticket has faults");
    faults.into_iter().map(|f| (f.code, f.location)).collect()
}

fn valid_ticket() -> Ticket {
    let text = format!(r#"{{"number": 5, "services": [{}]}}"#, service(1, 11));
    parse_ticket(&text, TicketFormat::Json).expect("the ticket is valid")
}

#[test]
fn all_faults_are_reported_at_once_with_their_locations() {
    let text = r#"{"number": 0, "colour": "red", "services": [{
        "id": 1, "name": "Upper", "state": "paused", "addresses": ["host:443", "10.0.0.1:0"],
        "data_centres": ["a", "a"], "upstreams": [
          {"target": 1, "name": "x", "vm": "v", "data_centre": "b", "agent_address": "10.0.0.1:1",
           "link_address": "10.0.0.1:2", "slots": 0, "state": "active"},
          {"target": 1, "name": "x", "vm": 3, "data_centre": "a", "agent_address": "10.0.0.1:1",
           "link_address": "10.0.0.1:3", "state": "active"}]}]}"#;

    let mut faults = faults_of(text);
    faults.sort();

    let expected = [
        (ResultCode::TicketDuplicate, "services[0].data_centres[1]"),
        (
            ResultCode::TicketDuplicate,
            "services[0].upstreams[1].agent_address",
        ),
        (ResultCode::TicketDuplicate, "services[0].upstreams[1].name"),
        (
            ResultCode::TicketDuplicate,
            "services[0].upstreams[1].target",
        ),
        (
            ResultCode::TicketBadReference,
            "services[0].upstreams[0].data_centre",
        ),
        (ResultCode::TicketBadNumber, "number"),
        (
            ResultCode::TicketBadNumber,
            "services[0].upstreams[0].slots",
        ),
        (ResultCode::TicketBadAddress, "services[0].addresses[0]"),
        (ResultCode::TicketBadAddress, "services[0].addresses[1]"),
        (ResultCode::TicketUnknownField, "colour"),
        (ResultCode::TicketBadName, "services[0].name"),
        (
            ResultCode::TicketMissingField,
            "services[0].upstreams[1].slots",
        ),
        (ResultCode::TicketWrongType, "services[0].upstreams[1].vm"),
        (ResultCode::TicketBadChoice, "services[0].state"),
    ]
    .map(|(code, location)| (code, location.to_owned()));
    assert_eq!(faults, expected);
}

#[rstest]
#[case::empty(r#"{"number": 1}"#, ResultCode::TicketEmpty)]
#[case::syntax(r#"{"number": 1"#, ResultCode::TicketSyntax)]
#[case::list_instead_of_table("[]", ResultCode::TicketWrongType)]
#[case::fraction(
    r#"{"number": 1.5, "key_epoch": {"current": 1}}"#,
    ResultCode::TicketBadNumber
)]
#[case::text_number(
    r#"{"number": "1", "key_epoch": {"current": 1}}"#,
    ResultCode::TicketWrongType
)]
#[case::epoch_too_high(
    r#"{"number": 1, "key_epoch": {"current": 4}}"#,
    ResultCode::TicketBadNumber
)]
#[case::second_value(r#"{"number": 1} {}"#, ResultCode::TicketSyntax)]
fn an_invalid_document_is_refused(#[case] text: &str, #[case] code: ResultCode) {
    let faults = faults_of(text);

    assert_eq!(faults.iter().map(|f| f.0).collect::<Vec<_>>(), [code]);
}

#[test]
fn an_active_service_without_upstreams_is_refused() {
    // A list that is empty by mistake would make the whole service unreachable.
    let text = r#"{"number": 1, "services": [{"id": 1, "name": "s", "state": "active",
        "addresses": ["192.0.2.1:443"], "data_centres": ["a"], "upstreams": []}]}"#;

    let faults = faults_of(text);

    let location = "services[0].upstreams".to_owned();
    assert_eq!(faults, [(ResultCode::TicketMissingField, location)]);
}

#[test]
fn a_toml_syntax_error_names_its_line() {
    let faults = parse_ticket("number = 1\nkey_epoch = {", TicketFormat::Toml).unwrap_err();

    assert_eq!(faults[0].code, ResultCode::TicketSyntax);
    assert!(
        faults[0].location.starts_with("line 2"),
        "{}",
        faults[0].location
    );
}

#[test]
fn a_ticket_over_one_megabyte_is_refused_before_it_is_parsed() {
    let text = " ".repeat(MAX_TICKET_BYTES + 1);

    assert_eq!(faults_of(&text)[0].0, ResultCode::TicketTooLarge);
}

#[test]
fn a_ticket_round_trips_through_every_encoding() {
    let ticket = valid_ticket();
    let wire = TicketWire::from(&ticket);

    let json = serde_json::to_string(&wire).unwrap();
    let toml = toml::to_string(&wire).unwrap();
    let bytes = encode_ticket(&ticket).unwrap();

    assert_eq!(
        parse_ticket(&json, TicketFormat::Json).as_ref(),
        Ok(&ticket)
    );
    assert_eq!(
        parse_ticket(&toml, TicketFormat::Toml).as_ref(),
        Ok(&ticket)
    );
    assert_eq!(decode_ticket(&bytes).as_ref(), Ok(&ticket));
}

#[test]
fn a_relayed_ticket_with_faults_or_trailing_bytes_is_refused() {
    let mut wire = TicketWire::from(&valid_ticket());
    let mut trailing = encode_ticket(&valid_ticket()).unwrap();
    trailing.push(0);
    wire.services[0].upstreams[0].slots = 0;
    let invalid = bincode::serde::encode_to_vec(&wire, bincode::config::standard()).unwrap();

    assert_eq!(decode_ticket(&trailing), Err(ResultCode::ControlMalformed));
    assert_eq!(decode_ticket(&invalid), Err(ResultCode::TicketInvalid));
}
