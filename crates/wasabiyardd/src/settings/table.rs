//! The table of all settings. The reader takes the defaults and the descriptions of valid values from it, and a test
//! compares the operators' page with it.

/// Description of one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setting {
    /// Name of the section.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// Description of the valid values: form, unit and range.
    pub form: &'static str,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Whether error messages must hide the value.
    pub secret: bool,
}

const fn required(section: &'static str, key: &'static str, form: &'static str) -> Setting {
    Setting {
        section,
        key,
        form,
        default: None,
        secret: false,
    }
}

const fn optional(
    section: &'static str,
    key: &'static str,
    form: &'static str,
    default: &'static str,
) -> Setting {
    Setting {
        section,
        key,
        form,
        default: Some(default),
        secret: false,
    }
}

const fn secret(section: &'static str, key: &'static str, form: &'static str) -> Setting {
    Setting {
        section,
        key,
        form,
        default: None,
        secret: true,
    }
}

const ADDRESS: &str = "an address IP:PORT";
const NAME: &str = "a name of 1 to 63 letters, digits, `-`, `_` or `.`";

/// All settings, in the order of the operators' page.
pub const SETTINGS: [Setting; 21] = [
    required("instance", "id", NAME),
    required("instance", "failure_domain", NAME),
    optional("instance", "region", NAME, "default"),
    optional(
        "instance",
        "incarnation",
        "the number from 1 to 18446744073709551615 under which the platform lists this process, or empty to take the \
         milliseconds of the clock",
        "",
    ),
    optional("listen", "callers", ADDRESS, "127.0.0.1:6432"),
    optional(
        "listen",
        "peers",
        "an address IP:PORT with an IP that peers can connect to",
        "127.0.0.1:6433",
    ),
    optional("listen", "admin", ADDRESS, "127.0.0.1:6434"),
    optional(
        "tls",
        "certificate",
        "the path of a PEM file with the certificate chain, or empty for no TLS",
        "",
    ),
    optional(
        "tls",
        "key",
        "the path of a PEM file with the private key, or empty for no TLS",
        "",
    ),
    optional("tls", "allow_cleartext_keys", "true or false", "false"),
    required("platform", "address", ADDRESS),
    optional(
        "platform",
        "timeout",
        "a duration from 100ms to 60s, such as 500ms or 2s",
        "2s",
    ),
    required("backend", "user", "a user name of 1 to 63 characters"),
    secret("backend", "password", "a password of 1 to 1024 characters"),
    secret(
        "fleet",
        "secret",
        "a secret of 16 to 1024 characters, the same on all instances",
    ),
    optional(
        "fleet",
        "seeds",
        "up to 64 peer addresses IP:PORT, separated by commas",
        "",
    ),
    optional(
        "traffic",
        "threads",
        "a number of threads from 1 to 256, or 0 for one per core less one",
        "0",
    ),
    optional(
        "traffic",
        "max_callers",
        "a number of caller connections from 1 to 1000000",
        "10000",
    ),
    optional(
        "traffic",
        "max_message",
        "a size in bytes from 1024 to 67108864",
        "1048576",
    ),
    optional(
        "traffic",
        "drain_timeout",
        "a duration from 100ms to 3600s, such as 500ms or 30s",
        "30s",
    ),
    optional(
        "traffic",
        "idle_in_transaction",
        "a duration from 100ms to 3600s, such as 500ms or 60s",
        "60s",
    ),
];

/// Returns the setting with this section and key. Panics if the table lacks it; the test of the defaults reads every
/// setting.
pub(super) fn find_setting(section: &str, key: &str) -> &'static Setting {
    SETTINGS
        .iter()
        .find(|s| s.section == section && s.key == key)
        .expect("the table contains every setting that is read")
}
