//! Tests of odd rows in the host list.

use {super::decode_rows, crate::HostRow};

const GOOD: &str = r#"{ "worker": "w", "rack": "r", "zone": "z", "address": "127.0.0.1:1",
    "capacity": { "millicores": 1, "memory_bytes": 2 }, "state": "live" }"#;

fn names(text: &str) -> Option<Vec<String>> {
    let name = |row: HostRow| row.worker.as_str().to_owned();
    decode_rows(text.as_bytes()).map(|rows| rows.into_iter().map(name).collect())
}

#[test]
fn an_odd_row_of_the_host_list_costs_no_other_one() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let with = |from: &str, to: &str| GOOD.replace(from, to);
    for odd in [
        with("127.0.0.1:1", "127.0.0.1:99999"),
        with("127.0.0.1:1", "here"),
        with(r#""millicores": 1"#, r#""millicores": 1e400"#),
        with(r#""millicores": 1"#, r#""millicores": 18446744073709551616"#),
        with(r#""millicores": 1"#, r#""millicores": -1"#),
        with(r#""millicores": 1"#, &format!(r#""millicores": {deep}"#)),
        with(r#""w""#, r#""],[{}\"\\""#),
        with(r#""live""#, r#""lost""#),
        deep,
        "null".to_owned(),
        "{}".to_owned(),
        String::new(),
    ] {
        let last = with(r#""w""#, r#""v""#);
        let list = format!(" [{GOOD},{odd},{last}]\n");
        assert_eq!(names(&list), Some(vec!["w".to_owned(), "v".to_owned()]), "{odd:.200}");
    }
}

#[test]
fn a_text_that_is_no_array_is_no_host_list() {
    assert_eq!(names("[]"), Some(Vec::new()));
    assert_eq!(names("[ ]"), Some(Vec::new()));
    for text in ["", "[", "]", "{}", "null", GOOD, "[{]", "[}]", "[\"]", "[{]}", "[[]"] {
        assert_eq!(names(text), None, "{text}");
    }
}
