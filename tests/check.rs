//! Tests of the checks of documents, overlays and settings.

use std::fs;
use std::path::{Path, PathBuf};

use cornellink::error::Error;
use cornellink::process::settings::Settings;
use cornellink::version::check::limits::MAX_TEXT_BYTES;
use cornellink::version::overlay::Overlay;
use cornellink::version::parse::parse;
use quickcheck::{Gen, QuickCheck};

const VALID: &str = include_str!("golden/format-1/valid.jsonc");

fn jsonc_files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> =
        entries.filter(|path| path.extension().is_some_and(|end| end == "jsonc")).collect();
    files.sort();
    assert!(!files.is_empty());
    files
}

fn verdict(text: &str) -> String {
    match parse(text) {
        Ok(document) => format!("{document:#?}\n"),
        Err(error) => format!("{error}\n"),
    }
}

fn error_text(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

/// Guards against a change of the checks of format 1, after which entries of different releases
/// would disagree about which documents are accepted.
#[test]
fn verdicts_of_format_1_match_the_golden_files() {
    let files = jsonc_files("tests/golden/format-1");

    for file in files {
        let expected = fs::read_to_string(file.with_extension("verdict")).unwrap();
        assert_eq!(verdict(&fs::read_to_string(&file).unwrap()), expected, "{}", file.display());
    }
}

/// Guards against example documents, overlays and settings that fail the checks.
#[test]
fn examples_are_valid() {
    for name in ["hungary", "ebro"] {
        let read = |path: String| fs::read_to_string(path).unwrap();
        let trial = read(format!("examples/{name}.jsonc"));
        let overlay = Overlay::parse(&read(format!("examples/production/{name}.jsonc"))).unwrap();

        let (trial_document, text) = (parse(&trial).unwrap(), overlay.apply(&trial).unwrap());
        let document = parse(&text).unwrap();

        assert_eq!(document.environment, "production");
        for (service, trial) in document.services.iter().zip(&trial_document.services) {
            assert_eq!(service.classes, trial.classes);
            assert_eq!(service.targets.len(), trial.targets.len());
            assert!(service.targets.iter().all(|target| !trial.targets.contains(target)));
        }
    }
    let settings = fs::read_to_string("examples/settings/entry.jsonc").unwrap();
    assert!(Settings::parse(&settings).is_ok());
}

/// Guards against an example in the README that fails the checks.
#[test]
fn document_of_the_readme_is_valid() {
    let readme = fs::read_to_string("README.md").unwrap();

    let example = readme.split("```jsonc").nth(1).and_then(|rest| rest.split("```").next());

    assert_eq!(parse(example.unwrap()).unwrap().services.len(), 1);
}

/// Guards against an overlay that is silently ignored because the document lacks its service.
#[test]
fn overlay_of_an_unknown_service_is_refused() {
    let text = r#"{ "environment": "production", "services": [
        { "name": "ticket", "targets": [{ "address": "10.0.0.9:80", "domain": "a" }] } ] }"#;

    let overlay = Overlay::parse(text).unwrap();

    assert!(overlay.apply(VALID).unwrap_err().to_string().contains("`ticket`"));
}

/// Guards against a check that stops at the first problem of the settings.
#[test]
fn all_problems_of_settings_are_reported_with_their_positions() {
    let text = "{ \"name\": \"a b\",\n  \"listen\": \"x\", \"lgo\": \"info\" }";

    let Err(Error::Invalid { problems }) = Settings::parse(text) else { panic!("not refused") };

    let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(paths, ["admin", "domain", "platform", "name", "listen", "lgo"]);
    assert_eq!((problems[5].line, problems[5].column), (2, 18));
    assert!(problems[5].expected.contains("`log`"));
}

/// Guards against a text that exhausts the memory of an entry.
#[test]
fn oversized_text_is_refused() {
    let text = format!("{VALID}{}", " ".repeat(MAX_TEXT_BYTES));

    assert!(error_text(&text).contains("bytes"));
}

/// Guards against a stack overflow in the parser, which recurses at each level.
#[test]
fn deep_nesting_is_refused() {
    for text in ["[".repeat(500_000), "{\"a\":".repeat(300_000)] {
        assert!(error_text(&text).contains("levels of nesting"));
    }
}

/// Guards against an error message that grows with a hostile text.
#[test]
fn number_of_reported_problems_is_bounded() {
    let fields: Vec<String> = (0..100_000).map(|index| format!("\"x{index}\":1")).collect();

    let Err(Error::Invalid { problems }) = parse(&format!("{{{}}}", fields.join(","))) else {
        panic!("not refused")
    };

    assert_eq!(problems.len(), 1001);
}

/// Guards against checks that refuse a document of the largest deployment or are slow for it.
#[test]
fn document_of_the_largest_deployment_is_valid() {
    let services: Vec<String> = (0..970)
        .map(|service| {
            let targets: Vec<String> = (0..13)
                .map(|target| {
                    let (high, low) = (service / 250, service % 250);
                    let address = format!("10.{high}.{low}.{target}:80");
                    format!(r#"{{"address":"{address}","domain":"zone-{}"}}"#, target % 18)
                })
                .collect();
            let classes = r#"[{"name":"c","methods":["GET"],"deadlineMs":9,"idempotent":true}]"#;
            format!(
                r#"{{"name":"s{service}","prefix":"/s{service}","slots":3,"classes":{classes},"targets":[{}]}}"#,
                targets.join(",")
            )
        })
        .collect();
    let text = format!(
        r#"{{"format":1,"environment":"t","workspaces":[{{"name":"n"}}],"services":[{}]}}"#,
        services.join(",")
    );

    assert_eq!(parse(&text).unwrap().services.len(), 970);
}

fn never_panics(text: &str) -> bool {
    let _ = Settings::parse(text);
    let _ = Overlay::parse(text).map(|overlay| overlay.apply(VALID));
    match parse(text) {
        Ok(_) => true,
        Err(error) => !error.to_string().is_empty(),
    }
}

fn check_property(property: fn(Vec<u16>) -> bool) {
    let generator = Gen::from_size_and_seed(60, 7);
    QuickCheck::new().rng(generator).tests(3000).quickcheck(property);
}

/// Guards against a panic on arbitrary text.
#[test]
fn arbitrary_text_never_panics() {
    check_property(|units| never_panics(&String::from_utf16_lossy(&units)));
}

/// Guards against a panic on text made of valid tokens in random order.
#[test]
fn arbitrary_tokens_never_panic() {
    const TOKENS: &[&str] = &[
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "\"name\"",
        "\"services\"",
        "\"format\"",
        "1",
        "-",
        "1e9",
        "1.",
        "null",
        "true",
        "'a'",
        "\"\\u00e9\"",
        "\"\\ud800\"",
        "//",
        "/*",
        "*/",
        "\n",
        "ő",
        "-1",
        "\"\\",
        "\u{feff}",
        "word",
        "99999999999999999999",
    ];
    check_property(|units| {
        let tokens = units.iter().map(|unit| TOKENS[usize::from(*unit) % TOKENS.len()]);
        never_panics(&tokens.collect::<String>())
    });
}

/// Guards against a panic on a document with characters removed, duplicated or overwritten.
#[test]
fn damaged_document_never_panics() {
    check_property(|units| {
        let mut chars: Vec<char> = VALID.chars().collect();
        for pair in units.chunks_exact(3).take(4) {
            let at = |unit: u16| usize::from(unit) % chars.len();
            let (start, end) = (at(pair[0]).min(at(pair[1])), at(pair[0]).max(at(pair[1])));
            let end = end.min(start + 40);
            let part: Vec<char> = chars[start..end].to_vec();
            let place = at(pair[2]);
            match pair[2] % 3 {
                0 => drop(chars.drain(start..end)),
                1 => drop(chars.splice(place..place, part)),
                _ => chars[place] = char::from(pair[0].to_le_bytes()[0]),
            }
            if chars.is_empty() {
                break;
            }
        }
        never_panics(&chars.into_iter().collect::<String>())
    });
}
