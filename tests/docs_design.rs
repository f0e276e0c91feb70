//! Every test referenced in docs/DESIGN.md exists.

use std::path::Path;

use googletest::prelude::*;

const PAGE: &str = include_str!("../docs/DESIGN.md");

/// Returns the names in backticks that refer to tests.
fn referenced_tests() -> impl Iterator<Item = &'static str> {
    let spans = PAGE.split('`').skip(1).step_by(2);
    spans.filter(|span| span.starts_with("tests/"))
}

fn exists(name: &str) -> bool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let Some((file, function)) = name.split_once("::") else {
        return root.join(name).exists();
    };
    let text = std::fs::read_to_string(root.join(file)).unwrap_or_default();
    text.contains(&format!("fn {function}("))
}

#[googletest::test]
fn each_test_named_on_the_page_exists() {
    let missing: Vec<_> = referenced_tests().filter(|name| !exists(name)).collect();
    expect_that!(missing, is_empty());
    expect_that!(referenced_tests().count(), ge(16));
}
