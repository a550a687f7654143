fn main() -> eyre::Result<()> {
    cornellink::command::run()
}
