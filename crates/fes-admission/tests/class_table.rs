//! Guards against a table that grows without bound, estimates that don't adapt, and mixed-up
//! classes.

use fes_admission::AdmissionSettings;
use fes_admission::ClassName;
use fes_admission::ClassTable;

fn table(max_classes: usize) -> ClassTable {
    let mut settings = AdmissionSettings::for_slots(4)
        .with_prior(ClassName::from("GET /short"), 20_000)
        .with_prior(ClassName::from("GET /long"), 1_000_000);
    settings.max_classes = max_classes;
    ClassTable::new(&settings)
}

/// Fails if clients can grow the table with arbitrary paths, or evict a known class by it.
#[test]
fn classes_past_the_bound_share_the_overflow_class() {
    let mut table = table(3);
    let known = table.index_of(&ClassName::from("GET /short"));
    let third = table.index_of(&ClassName::from("GET /a"));

    let fourth = table.index_of(&ClassName::from("GET /b"));
    let fifth = table.index_of(&ClassName::from("GET /c"));

    assert_eq!(fourth, fifth);
    assert_ne!(third, fourth);
    assert_eq!(table.index_of(&ClassName::from("GET /short")), known);
}

/// Fails if ten observations don't replace a wrong prior.
#[test]
fn observations_replace_a_wrong_prior() {
    let mut table = table(8);
    let class = table.index_of(&ClassName::from("GET /short"));

    for _ in 0..10 {
        table.observe(class, 200_000.0);
    }

    assert!(table.mean_us(class) > 180_000.0);
}

/// Fails if a rare fast class, such as a health check, makes normal requests count as long.
#[test]
fn only_common_classes_define_what_is_short() {
    let mut table = table(8);
    let usual = table.index_of(&ClassName::from("GET /short"));
    let rare = table.index_of(&ClassName::from("GET /health"));
    for _ in 0..50 {
        table.observe(rare, 100.0);
    }

    for number in 0..2_000 {
        table.count_arrival(if number % 50 == 0 { rare } else { usual });
    }

    assert!(!table.is_long(usual));
    let long = table.index_of(&ClassName::from("GET /long"));
    assert!(table.is_long(long));
}

/// Fails if IDs or query strings split the requests of one route into many classes.
#[test]
fn class_is_method_and_first_path_segment() {
    let names =
        ["/lots/7/inspection", "/lots?id=9", "lots"].map(|path| ClassName::of_request("GET", path));

    assert!(names.iter().all(|name| name.as_str() == "GET /lots"));
}

/// Fails if a few requests that run 50 times as long as their class raise its estimate so far that
/// the forecast refuses normal ones, or if a class that slows down keeps its old estimate.
#[test]
fn rare_stragglers_dont_hide_the_usual_length_and_a_slow_class_is_learnt() {
    let mut table = table(8);
    let class = table.index_of(&ClassName::from("GET /short"));
    for number in 0..5_000 {
        let is_straggler = number % 50 == 0;
        table.observe(class, if is_straggler { 1_000_000.0 } else { 20_000.0 });
    }
    let among_stragglers_us = table.mean_us(class);

    for _ in 0..500 {
        table.observe(class, 400_000.0);
    }

    assert!(among_stragglers_us < 25_000.0);
    assert!(table.mean_us(class) > 350_000.0);
}
