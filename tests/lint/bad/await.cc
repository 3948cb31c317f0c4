// The fault as it stood: check_awaits must find it.
net::Task<void> Serve(std::shared_ptr<Connection> connection) {
  co_await connection->Read(
      [connection](Message message) { Answer(connection, message); }, kIdle);
}

net::Task<void> Audit(bool turn) {
  co_await (turn ? AuditEnded() : AuditLive());
}
