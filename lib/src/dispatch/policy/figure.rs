//! A kind of figure of the policy: how it is read from JSON and shown on the reference page, and the
//! declaration of a section of them.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::findings::Fields;
use crate::findings::Findings;

/// One field of a policy, for the reference page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Section and field.
    pub name: String,
    /// Its default.
    pub default: String,
    /// What it may be.
    pub range: String,
    /// What it does and where the default comes from.
    pub meaning: String,
}

/// A kind of figure: how it is read from JSON and shown on the reference page.
pub(super) trait Figure: Copy {
    /// What it may be.
    type Range;
    /// Reads the field, or takes its default. What is out of range is a finding.
    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: Self,
        range: Self::Range,
        findings: &mut Findings,
    ) -> Self;
    /// The default and the range, in words.
    fn words(self, range: Self::Range) -> (String, String);
}

impl Figure for Duration {
    type Range = RangeInclusive<u64>;

    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: Duration,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Duration {
        let default = crate::clock::millis(default);
        Duration::from_millis(fields.number(name, default, range, findings))
    }

    fn words(self, range: RangeInclusive<u64>) -> (String, String) {
        let default = crate::clock::millis(self).to_string();
        (default, format!("{} to {}", range.start(), range.end()))
    }
}

impl Figure for u32 {
    type Range = RangeInclusive<u64>;

    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: u32,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> u32 {
        let number = fields.number(name, u64::from(default), range, findings);
        u32::try_from(number).unwrap_or(u32::MAX)
    }

    fn words(self, range: RangeInclusive<u64>) -> (String, String) {
        let default = self.to_string();
        (default, format!("{} to {}", range.start(), range.end()))
    }
}

impl Figure for f64 {
    type Range = RangeInclusive<f64>;

    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: f64,
        range: RangeInclusive<f64>,
        findings: &mut Findings,
    ) -> f64 {
        fields.ratio(name, default, range, findings)
    }

    fn words(self, range: RangeInclusive<f64>) -> (String, String) {
        let default = self.to_string();
        (default, format!("{} to {}", range.start(), range.end()))
    }
}

impl Figure for bool {
    type Range = ();

    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: bool,
        (): (),
        findings: &mut Findings,
    ) -> bool {
        fields.switch(name, default, findings)
    }

    fn words(self, (): ()) -> (String, String) {
        (self.to_string(), "`true`, `false`".to_owned())
    }
}

/// Declares a section: a struct whose fields each have a kind, a default and a range. The field's
/// name in JSON is its name here; times in milliseconds end in `_ms`.
macro_rules! section {
    (
        $(#[doc = $about:literal])*
        $section:ident ($key:literal) {
            $( $(#[doc = $doc:literal])* $field:ident: $kind:ident = $default:expr, $range:expr; )*
        }
    ) => {
        $(#[doc = $about])*
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct $section {
            $( $(#[doc = $doc])* pub $field: section!(@type $kind), )*
        }

        impl Default for $section {
            fn default() -> $section {
                $section { $( $field: section!(@value $kind $default), )* }
            }
        }

        impl $section {
            pub(super) fn read(value: &Value, findings: &mut Findings) -> $section {
                let default = $section::default();
                let Some(mut fields) = Fields::new(value, concat!("/", $key), findings) else {
                    return default;
                };
                let section = $section {
                    $(
                        $field: Figure::read(
                            &mut fields,
                            section!(@key $kind $field),
                            default.$field,
                            $range,
                            findings,
                        ),
                    )*
                };
                fields.finish(findings);
                section
            }

            pub(super) fn rows() -> Vec<Row> {
                let section = $section::default();
                let mut rows = Vec::new();
                $(
                    let (default, range) = section.$field.words($range);
                    rows.push(Row {
                        name: concat!($key, ".", section!(@key $kind $field)).to_owned(),
                        default,
                        range,
                        meaning: concat!($($doc),*).trim().to_owned(),
                    });
                )*
                rows
            }
        }
    };
    (@type ms) => { Duration };
    (@type ratio) => { f64 };
    (@type count) => { u32 };
    (@type switch) => { bool };
    (@value ms $default:expr) => { Duration::from_millis($default) };
    (@value $kind:ident $default:expr) => { $default };
    (@key ms $field:ident) => { concat!(stringify!($field), "_ms") };
    (@key $kind:ident $field:ident) => { stringify!($field) };
}

pub(super) use section;
