// The fault as it stood: check_awaits must find it.
net::Task<void> Serve(std::shared_ptr<Connection> connection) {
  co_await connection->Read(
      [connection](Message message) { Answer(connection, message); }, kIdle);
}
