//! JSON texts that other programs may write and that a reader may not expect or not be able to represent.

/// The nesting levels of the values that are nested: around the limit of the parser, and far above it.
const LEVELS: [usize; 4] = [127, 129, 10_000, 100_000];
/// The length of the long text, in bytes.
const LONG_TEXT: usize = 1 << 20;

/// A JSON text with its description. It need not be valid JSON, but its brackets and quotes are balanced.
#[derive(Clone, Debug)]
pub struct OddValue {
    /// What is odd.
    pub name: String,
    /// The text.
    pub text: Vec<u8>,
}

fn odd(name: &str, text: impl Into<Vec<u8>>) -> OddValue {
    OddValue {
        name: name.to_owned(),
        text: text.into(),
    }
}

fn nested(levels: usize, open: &str, close: &str) -> String {
    format!("{}{}", open.repeat(levels), close.repeat(levels))
}

/// Returns the odd values.
pub fn values() -> Vec<OddValue> {
    let numbers = [
        "1e400",
        "-1e400",
        "1e30",
        "-1",
        "0",
        "1.5",
        "18446744073709551615",
        "18446744073709551616",
        "65536",
        "NaN",
        "Infinity",
    ];
    let others = [
        "null",
        "true",
        r#""x""#,
        r#""\ud800""#,
        r#""\x""#,
        r#""10.0.0.1:65536""#,
        r#""10.0.0.1:0""#,
        r#""10.0.0.1:-1""#,
        r#""0.0.0.0:0""#,
        r#""255.255.255.255:7720""#,
        "[]",
        "[1,2]",
        r#"[{"a":1}]"#,
        "{}",
        r#"{"a":1,"a":2}"#,
    ];
    let mut odd_values: Vec<OddValue> = numbers.iter().chain(&others).map(|t| odd(t, *t)).collect();
    for levels in LEVELS {
        let lists = nested(levels, "[", "]");
        odd_values.push(odd(&format!("{levels} lists"), lists));
        let objects = format!("{}1{}", r#"{"a":"#.repeat(levels), "}".repeat(levels));
        odd_values.push(odd(&format!("{levels} objects"), objects));
    }
    odd_values.push(odd("invalid UTF-8", b"\"a\xff\xfe\"".to_vec()));
    odd_values.push(odd("a control character", "\"a\u{1}\""));
    odd_values.push(odd("a long text", format!("\"{}\"", "y".repeat(LONG_TEXT))));
    odd_values
}
