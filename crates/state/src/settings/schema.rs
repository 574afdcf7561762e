//! Schema of the settings, from which parsing, checks and the reference page derive.

mod general;
mod topology;

/// All kinds of sections, in the order of the reference page.
pub const SECTIONS: &[SectionSchema] = &[
    general::FLEET,
    general::FRONT,
    general::FAIR,
    general::RETRY,
    general::HEALTH,
    general::MEMBERSHIP,
    general::PLATFORM,
    topology::SITE,
    topology::HOST,
    topology::POOL,
    topology::SERVICE,
    topology::ENDPOINT,
    topology::ACCOUNT,
];

/// Schema of one kind of section.
#[derive(Debug)]
pub struct SectionSchema {
    /// Header, or its part before the dot for named sections.
    pub name: &'static str,
    /// Whether the header is `[name.NAME]` and there may be several such sections.
    pub is_named: bool,
    /// Description for the reference page.
    pub doc: &'static str,
    pub keys: &'static [KeySchema],
}

/// Schema of one key.
#[derive(Debug)]
pub struct KeySchema {
    /// Name of the key; a suffix gives the unit.
    pub name: &'static str,
    /// Accepted values.
    pub kind: ValueKind,
    /// Default of a key.
    pub fallback: Fallback,
    /// Files that may set the key.
    pub scope: Scope,
    /// Description for the reference page.
    pub doc: &'static str,
}

/// Kind of values that a key accepts.
#[derive(Debug)]
pub enum ValueKind {
    /// A whole number.
    Integer {
        unit: Unit,
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// `yes` or `no`.
    Flag,
    /// A name.
    Name,
    /// The name of a section of the given kind.
    Reference(&'static str),
    /// An IP address and a port.
    Address,
    /// A SHA-256 digest.
    Digest,
}

/// Unit of a whole number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// A plain count.
    Count,
    Milliseconds,
    Bytes,
    Percent,
    /// A count per second.
    PerSecond,
}

/// Default of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fallback {
    /// The key must be given.
    Mandatory,
    /// The value stays unset.
    Unset,
    /// The key has this default.
    Value(&'static str),
}

/// Files that may set a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The base file only, because the whole fleet must agree on the value.
    Fleet,
    /// The base file and the overlay of a site.
    Site,
}

const fn integer(unit: Unit, min: u64, max: u64) -> ValueKind {
    ValueKind::Integer { unit, min, max }
}

const fn key(
    name: &'static str,
    kind: ValueKind,
    fallback: Fallback,
    scope: Scope,
    doc: &'static str,
) -> KeySchema {
    KeySchema {
        name,
        kind,
        fallback,
        scope,
        doc,
    }
}

impl Unit {
    /// Describes a number with this unit.
    ///
    /// ```
    /// use sedgeridge_state::settings::schema::Unit;
    /// assert_eq!(Unit::Bytes.description(), "a whole number of bytes");
    /// ```
    pub fn description(self) -> &'static str {
        match self {
            Self::Count => "a whole number",
            Self::Milliseconds => "a whole number of milliseconds",
            Self::Bytes => "a whole number of bytes",
            Self::Percent => "a whole number of percent",
            Self::PerSecond => "a whole number for each second",
        }
    }

    /// Returns the factor that converts a number with this suffix to this unit.
    pub(super) fn factor_from_suffix(self, suffix: &str) -> Option<f64> {
        let suffix = suffix.to_ascii_lowercase();
        let factor = match (self, suffix.as_str()) {
            (_, "") => 1.0,
            (Self::Milliseconds, "ms") => 1.0,
            (Self::Milliseconds, "s" | "sec") => 1e3,
            (Self::Milliseconds, "m" | "min") => 60e3,
            (Self::Milliseconds, "h") => 3_600e3,
            (Self::Bytes, "b") => 1.0,
            (Self::Bytes, "kb") => 1e3,
            (Self::Bytes, "mb") => 1e6,
            (Self::Bytes, "gb") => 1e9,
            (Self::Bytes, "k" | "kib") => 1_024.0,
            (Self::Bytes, "m" | "mib") => 1_048_576.0,
            (Self::Bytes, "g" | "gib") => 1_073_741_824.0,
            (Self::Percent, "%") => 1.0,
            (Self::PerSecond, "/s") => 1.0,
            (Self::Count | Self::PerSecond, "k") => 1e3,
            _ => return None,
        };
        Some(factor)
    }
}

impl ValueKind {
    /// Describes the accepted values.
    ///
    /// ```
    /// use sedgeridge_state::settings::schema::ValueKind;
    /// assert_eq!(ValueKind::Flag.expected(), "yes or no");
    /// ```
    pub fn expected(&self) -> String {
        match self {
            Self::Integer { unit, min, max } => {
                format!("{} from {min} to {max}", unit.description())
            }
            Self::Choice(choices) => format!("one of {}", choices.join(", ")),
            Self::Flag => "yes or no".to_owned(),
            Self::Name => "a name of letters, digits, `-` and `_`".to_owned(),
            Self::Reference(section) => format!("the name of a [{section}.NAME] section"),
            Self::Address => "an IP number and a port".to_owned(),
            Self::Digest => "64 lower-case hexadecimal digits".to_owned(),
        }
    }
}

impl SectionSchema {
    /// Returns the schema of a key of this section.
    ///
    /// ```
    /// use sedgeridge_state::settings::schema::section;
    /// assert!(section("front").unwrap().key("max_queue").is_some());
    /// ```
    pub fn key(&self, name: &str) -> Option<&'static KeySchema> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// Returns the schema of a kind of section.
///
/// ```
/// assert!(sedgeridge_state::settings::schema::section("nothing").is_none());
/// ```
pub fn section(name: &str) -> Option<&'static SectionSchema> {
    SECTIONS.iter().find(|section| section.name == name)
}
