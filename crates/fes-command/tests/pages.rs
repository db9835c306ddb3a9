//! Checks links and commands in the pages under `docs` and in `README.md`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use clap::Command;
use rstest::rstest;

const PROGRAM: &str = "fescueshift";
/// Prefix of command lines that run the program from the source tree.
const CARGO_RUN: &str = "cargo run --release -- ";
const CODE_FENCE: &str = "```";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns all pages, sorted by path.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    collect_pages(&root().join("docs"), &mut pages);
    pages.sort();
    pages
}

fn collect_pages(directory: &Path, pages: &mut Vec<PathBuf>) {
    for item in fs::read_dir(directory).expect("a readable directory") {
        let path = item.expect("a readable directory").path();
        if path.is_dir() {
            collect_pages(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

/// Returns the relative links of a page that point to missing files.
fn broken_links(directory: &Path, text: &str) -> Vec<String> {
    let mut in_fence = false;
    let mut broken = Vec::new();
    for line in text.lines() {
        if line.trim_start().starts_with(CODE_FENCE) {
            in_fence = !in_fence;
        }
        if in_fence {
            continue;
        }
        let targets = line.split("](").skip(1);
        let targets = targets.filter_map(|rest| rest.split(')').next());
        for target in targets {
            let file = target.split('#').next().unwrap_or_default();
            let is_external = file.contains("://") || file.starts_with("mailto:");
            if !file.is_empty() && !is_external && !directory.join(file).exists() {
                broken.push(target.to_owned());
            }
        }
    }
    broken
}

/// Returns the code of a page: lines of fenced blocks, and inline code.
fn code_snippets(text: &str) -> Vec<&str> {
    let mut in_fence = false;
    let mut snippets = Vec::new();
    for line in text.lines() {
        if line.trim_start().starts_with(CODE_FENCE) {
            in_fence = !in_fence;
        } else if in_fence {
            snippets.push(line);
        } else {
            snippets.extend(line.split('`').skip(1).step_by(2));
        }
    }
    snippets
}

/// Returns the arguments of each invocation of the program in a code snippet.
fn invocations(snippet: &str) -> Vec<Vec<&str>> {
    let commands = snippet.split(['|', ';', '&', '#', '$']);
    let commands = commands.map(|command| command.trim_matches([' ', '(', ')']));
    let invocations = commands.map(arguments);
    invocations.filter(|words| !words.is_empty()).collect()
}

fn arguments(command: &str) -> Vec<&str> {
    if let Some(rest) = command.strip_prefix(CARGO_RUN) {
        return rest.split_whitespace().collect();
    }
    let mut words = command.split_whitespace();
    let program = words.find(|word| Path::new(word).ends_with(PROGRAM));
    program.map_or_else(Vec::new, |_| words.collect())
}

/// Returns the subcommands and options in a page that don't exist.
fn unknown_commands(text: &str, cli: &Command) -> Vec<String> {
    let invocations = code_snippets(text).into_iter().flat_map(invocations);
    invocations
        .flat_map(|invocation| unknown_words(&invocation, cli))
        .collect()
}

fn unknown_words(invocation: &[&str], cli: &Command) -> Vec<String> {
    let name = invocation[0];
    // `--help` and `--version` need no subcommand.
    if name.starts_with('-') {
        return Vec::new();
    }
    let Some(command) = cli.find_subcommand(name) else {
        return vec![name.to_owned()];
    };
    let options = invocation.iter().filter_map(|word| word.strip_prefix("--"));
    let options = options.map(|option| option.split('=').next().unwrap_or(option));
    let is_known = |option: &str| {
        let mut arguments = command.get_arguments();
        option == "help" || arguments.any(|argument| argument.get_long() == Some(option))
    };
    let unknown = options.filter(|option| !is_known(option));
    unknown.map(|option| format!("{name} --{option}")).collect()
}

/// Guards against links to files that were moved, removed or never written.
#[test]
fn links_of_all_pages_point_to_files() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a readable page");
        let directory = page.parent().expect("a directory");
        let links = broken_links(directory, &text).into_iter();
        broken.extend(links.map(|link| format!("{}: {link}", page.display())));
    }

    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against pages with subcommands or options that were renamed or removed.
#[test]
fn commands_of_all_pages_exist() {
    let cli = fes_command::cli();
    let mut unknown = Vec::new();
    let mut invocation_count = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a readable page");
        invocation_count += code_snippets(&text)
            .into_iter()
            .flat_map(invocations)
            .count();
        let words = unknown_commands(&text, &cli).into_iter();
        unknown.extend(words.map(|word| format!("{}: {word}", page.display())));
    }

    assert!(invocation_count > 0, "no page contains a command");
    assert!(unknown.is_empty(), "{unknown:#?}");
}

/// Guards against a link check that doesn't detect missing files.
#[rstest]
#[case("see [a](here.md) and [b](there.md#part)", &["there.md#part"])]
#[case("[a](https://example.org/x) [b](#part) [c](here.md#part)", &[])]
#[case("```\n[a](there.md)\n```\n[b](sub/there.md)", &["sub/there.md"])]
fn missing_files_are_found(#[case] text: &str, #[case] expected: &[&str]) {
    let directory = tempfile::tempdir().expect("a temporary directory");
    fs::write(directory.path().join("here.md"), "").expect("a temporary file");

    let broken = broken_links(directory.path(), text);

    assert_eq!(broken, expected);
}

/// Guards against a command check that doesn't detect unknown subcommands or options.
#[rstest]
#[case("`fescueshift status IP:PORT` is a tool; fescueshift is a program", &[])]
#[case("`fescueshift stats`", &["stats"])]
#[case("```\ncargo run --release -- lokal\n```", &["lokal"])]
#[case("```\ntarget/release/fescueshift diff t.json --force\n```", &["diff --force"])]
#[case("```\nfescueshift check a.toml && fescueshift chek b.toml\n```", &["chek"])]
#[case("`fescueshift-entry --settings FILE`", &[])]
fn unknown_words_are_found(#[case] text: &str, #[case] expected: &[&str]) {
    let unknown = unknown_commands(text, &fes_command::cli());

    assert_eq!(unknown, expected);
}
