//! Tests of the settings file, and of the operators' page that documents settings and counters.

use std::fmt::Write as _;
use wasabiyardd::counters::Counter;
use wasabiyardd::settings::{SETTINGS, Settings};

const VALID_SETTINGS: &str = "[instance]\nid = e1\nfailure_domain = a\n[platform]\naddress = 127.0.0.1:1\n\
                    [backend]\nuser = u\npassword = p\n[fleet]\nsecret = 0123456789abcdef\n";

/// Guards against an error message that lacks the section, the key, the value or the remedy, or that reveals a secret.
#[test]
fn each_error_names_place_value_and_remedy() {
    let changes = [
        ("id = e1\n", ""),
        ("id = e1", "id = a b"),
        ("[platform]", "[platfrom]"),
        ("user = u", "usr = u"),
        ("user = u", "user = u\npasword = hunter2"),
        ("secret = 0123456789abcdef", "secret = hunter2"),
        ("address = 127.0.0.1:1", "address = localhost"),
        ("[fleet]", "[traffic]\nthreads = 257\n[fleet]"),
        ("[fleet]", "[traffic]\ndrain_timeout = 30\n[fleet]"),
        ("[fleet]", "[listen]\npeers = 0.0.0.0:1\n[fleet]"),
        ("[fleet]", "[tls]\ncertificate = /dev/null\n[fleet]"),
        ("[fleet]", "[tls]\nkey = /nonexistent/key.pem\n[fleet]"),
        ("[fleet]", "[tls]\nallow_cleartext_keys = yes\n[fleet]"),
        ("[fleet]\n", "[fleet]\nseeds = 127.0.0.1:1, x\n"),
        ("[fleet]", "what\n[fleet]"),
    ];
    let mut text = String::new();
    for (from, to) in changes {
        let error = Settings::parse(&VALID_SETTINGS.replacen(from, to, 1)).expect_err("refused");
        let help = miette::Diagnostic::help(&error).expect("a remedy").to_string();
        writeln!(text, "{error}\n    {help}").expect("memory");
    }
    assert!(
        !text.contains("hunter2"),
        "error messages must not reveal secrets"
    );
    insta::assert_snapshot!(text);
}

/// Guards against a default that the reader rejects.
#[test]
fn defaults_are_valid_and_settings_are_read() {
    let settings = Settings::parse(VALID_SETTINGS).expect("valid");
    let mut full = String::new();
    let mut section = "";
    for setting in SETTINGS {
        if setting.section != section {
            section = setting.section;
            writeln!(full, "[{section}]").expect("memory");
        }
        let given = VALID_SETTINGS
            .lines()
            .find_map(|l| l.strip_prefix(setting.key)?.trim().strip_prefix('='));
        let value = setting.default.or(given).expect("a value").trim();
        writeln!(full, "{} = {value}", setting.key).expect("memory");
    }
    assert_eq!(Settings::parse(&full).expect("valid"), settings);
}

/// Guards against an operators' page that lacks a setting or states a different default.
#[test]
fn operators_page_lists_every_setting() {
    let page = include_str!("../../../docs/operators.md");
    for setting in SETTINGS {
        let default = match setting.default {
            None => "required".to_owned(),
            Some("") => "empty".to_owned(),
            Some(default) => format!("`{default}`"),
        };
        let row = format!(
            "| `[{}] {}` | {} | {default} |",
            setting.section, setting.key, setting.form
        );
        assert!(page.contains(&row), "missing: {row}");
    }
}

/// Guards against a counter that the operators' page does not explain.
#[test]
fn operators_page_lists_every_counter() {
    let page = include_str!("../../../docs/operators.md");
    for counter in Counter::ALL {
        let row = format!("| `{}` | {} |", counter.name(), counter.help());
        assert!(page.contains(&row), "missing: {row}");
    }
}
