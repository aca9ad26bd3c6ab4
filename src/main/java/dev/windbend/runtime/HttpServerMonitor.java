package dev.windbend.runtime;

/** Observes the requests and responses of an HTTP server, on its I/O thread. */
public interface HttpServerMonitor {
  /** Observes nothing. */
  HttpServerMonitor NONE =
      new HttpServerMonitor() {
        @Override
        public void requestEnded(RequestEnd end) {}

        @Override
        public void responseSent(String path, int status) {}

        @Override
        public void responseDropped(DroppedResponse cause) {}
      };

  /** Why a response was not sent. */
  enum DroppedResponse {
    /** The exchange already had a response, from the handler itself or at its time limit. */
    LATE,

    /** The client had closed the connection. */
    CLIENT_GONE
  }

  /** Called when the reading of a request's body has ended. */
  void requestEnded(RequestEnd end);

  /** Called for each response that is sent. */
  void responseSent(String path, int status);

  /** Called for each response that a handler gave and that is not sent. */
  void responseDropped(DroppedResponse cause);
}
