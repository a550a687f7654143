//! Checks a text before parsing, and parses it into a syntax tree.

use jsonc_parser::ast::Value;
use jsonc_parser::errors::ParseError;
use jsonc_parser::tokens::Token;
use jsonc_parser::{parse_to_ast, ParseOptions, Scanner};

use super::limits::{MAX_NESTING_DEPTH, MAX_TEXT_BYTES};
use super::problem::Problem;

type Result<T> = std::result::Result<T, Problem>;

/// Maps byte offsets to lines and columns.
pub struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        Self { text, starts: std::iter::once(0).chain(breaks).collect() }
    }

    /// 1-based line and column of a byte offset.
    pub fn position(&self, offset: usize) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        (line, before.chars().count() + 1)
    }
}

/// A text whose size, nesting, separators and quotes have been checked.
pub struct Source<'a> {
    pub text: &'a str,
    pub lines: LineIndex<'a>,
}

impl<'a> Source<'a> {
    /// Runs the checks that come before parsing.
    pub fn new(text: &'a str) -> Result<Self> {
        if text.len() > MAX_TEXT_BYTES {
            let expected = format!("at most {MAX_TEXT_BYTES} bytes, found {}", text.len());
            return Err(Problem::at_start(&expected));
        }
        let source = Self { text, lines: LineIndex::new(text) };
        source.check_tokens()?;
        Ok(source)
    }

    /// Parses the text.
    pub fn tree(&self) -> Result<Value<'a>> {
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
        };
        let parsed = parse_to_ast(self.text, &Default::default(), &options);
        let parsed = parsed.map_err(|error| self.syntax_problem(&error))?;
        parsed.value.ok_or_else(|| Problem::at_start("expected an object, found an empty text"))
    }

    /// Checks the nesting, and rejects what the parser accepts although JSON does not: missing
    /// commas and strings in single quotes.
    fn check_tokens(&self) -> Result<()> {
        let mut scanner = Scanner::new(self.text);
        let mut depth = 0_usize;
        let mut after_value = false;
        while let Some(token) = scanner.scan().map_err(|error| self.syntax_problem(&error))? {
            let start = scanner.token_start();
            if matches!(token, Token::CommentLine(_) | Token::CommentBlock(_)) {
                continue;
            }
            if after_value && starts_value(&token) {
                let expected = if depth == 0 { "the end of the text" } else { "`,`" };
                return Err(self.problem_at(start, &format!("expected {expected} after the value")));
            }
            if self.text[start..].starts_with('\'') {
                return Err(self.problem_at(start, "expected double quotes"));
            }
            match token {
                Token::OpenBrace | Token::OpenBracket => depth += 1,
                Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
                _ => {}
            }
            if depth > MAX_NESTING_DEPTH {
                let expected = format!("expected at most {MAX_NESTING_DEPTH} levels of nesting");
                return Err(self.problem_at(start, &expected));
            }
            after_value = ends_value(&token);
        }
        Ok(())
    }

    fn syntax_problem(&self, error: &ParseError) -> Problem {
        let text = error.kind().to_string();
        let mut chars = text.chars();
        let first = chars.next().map(|first| first.to_ascii_lowercase());
        let text: String = first.into_iter().chain(chars).collect();
        self.problem_at(error.range().start, &text)
    }

    fn problem_at(&self, offset: usize, expected: &str) -> Problem {
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
