//! A text within its limits, and its syntax tree.

use jsonc_parser::ast::Value;
use jsonc_parser::errors::ParseError;
use jsonc_parser::tokens::Token;
use jsonc_parser::{parse_to_ast, ParseOptions, Scanner};

use super::limits::{MAX_BYTES, MAX_DEPTH};
use super::problem::Problem;

type Result<T> = std::result::Result<T, Problem>;

/// Starts of the lines of a text.
pub struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    /// Finds the lines of a text.
    pub fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        Self { text, starts: std::iter::once(0).chain(breaks).collect() }
    }

    /// Line and column of a byte offset, both counted from 1.
    pub fn position(&self, offset: usize) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        (line, before.chars().count() + 1)
    }
}

/// A text whose size, depth and separators are in order.
pub struct Source<'a> {
    pub text: &'a str,
    pub lines: Lines<'a>,
}

impl<'a> Source<'a> {
    /// Checks what must hold before the parser runs.
    pub fn new(text: &'a str) -> Result<Self> {
        if text.len() > MAX_BYTES {
            let expected = format!("at most {MAX_BYTES} bytes, found {}", text.len());
            return Err(Problem::at_start(&expected));
        }
        let source = Self { text, lines: Lines::new(text) };
        source.scan()?;
        Ok(source)
    }

    /// The syntax tree.
    pub fn tree(&self) -> Result<Value<'a>> {
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
        };
        let parsed = parse_to_ast(self.text, &Default::default(), &options);
        let parsed = parsed.map_err(|error| self.syntax(&error))?;
        parsed.value.ok_or_else(|| Problem::at_start("expected an object, found an empty text"))
    }

    /// Checks the nesting, and what the parser is more lenient about than JSON: commas that are
    /// left out and texts in single quotes.
    fn scan(&self) -> Result<()> {
        let mut scanner = Scanner::new(self.text);
        let mut depth = 0_usize;
        let mut ended = false;
        while let Some(token) = scanner.scan().map_err(|error| self.syntax(&error))? {
            let start = scanner.token_start();
            if matches!(token, Token::CommentLine(_) | Token::CommentBlock(_)) {
                continue;
            }
            if ended && starts_value(&token) {
                let expected = if depth == 0 { "the end of the text" } else { "`,`" };
                return Err(self.problem(start, &format!("expected {expected} after the value")));
            }
            if self.text[start..].starts_with('\'') {
                return Err(self.problem(start, "expected double quotes"));
            }
            match token {
                Token::OpenBrace | Token::OpenBracket => depth += 1,
                Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
                _ => {}
            }
            if depth > MAX_DEPTH {
                let expected = format!("expected at most {MAX_DEPTH} levels of nesting");
                return Err(self.problem(start, &expected));
            }
            ended = ends_value(&token);
        }
        Ok(())
    }

    fn syntax(&self, error: &ParseError) -> Problem {
        let text = error.kind().to_string();
        let mut chars = text.chars();
        let first = chars.next().map(|first| first.to_ascii_lowercase());
        let text: String = first.into_iter().chain(chars).collect();
        self.problem(error.range().start, &text)
    }

    fn problem(&self, offset: usize, expected: &str) -> Problem {
        let (line, column) = self.lines.position(offset);
        Problem { line, column, path: String::new(), expected: expected.into() }
    }
}

fn starts_value(token: &Token) -> bool {
    ends_value(token) && !matches!(token, Token::CloseBrace | Token::CloseBracket)
        || matches!(token, Token::OpenBrace | Token::OpenBracket)
}

fn ends_value(token: &Token) -> bool {
    match token {
        Token::Boolean(_)
        | Token::CloseBrace
        | Token::CloseBracket
        | Token::Null
        | Token::Number(_)
        | Token::String(_)
        | Token::Word(_) => true,
        Token::Colon
        | Token::Comma
        | Token::CommentBlock(_)
        | Token::CommentLine(_)
        | Token::OpenBrace
        | Token::OpenBracket => false,
    }
}
