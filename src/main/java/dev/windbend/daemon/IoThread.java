package dev.windbend.daemon;

import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.HttpServer;
import dev.windbend.runtime.HttpServerMonitor;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.UndertowHttpClient;
import dev.windbend.runtime.XnioEventLoop;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The thread that a controller runs on, with its event loop, HTTP client and HTTP server. */
final class IoThread {
  private static final int BUFFER_BYTES = 8_192;
  private static final int MAX_POOLED_BUFFERS = 64;
  private static final int BUFFERS_PER_THREAD = 4;

  private final XnioWorker worker;
  private final DefaultByteBufferPool buffers;
  private final XnioEventLoop loop;
  private final UndertowHttpClient httpClient;

  private IoThread(XnioWorker worker, DefaultByteBufferPool buffers) {
    this.worker = worker;
    this.buffers = buffers;
    this.loop = new XnioEventLoop(worker.getIoThread());
    this.httpClient = new UndertowHttpClient(loop, buffers);
  }

  /**
   * Starts the thread, runs the task on it and returns when the task has ended. The thread keeps
   * running. The calling thread waits for the task, and code that reads files must run before the
   * thread starts: some platforms patch frequently used system call sites at run time, and the
   * process crashes if two threads execute the same site, for instance in libc's read, at that
   * moment.
   *
   * @param onFailure called on the thread if the task throws
   */
  static void start(Consumer<IoThread> task, Consumer<RuntimeException> onFailure)
      throws IOException, InterruptedException {
    DefaultByteBufferPool buffers =
        new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD);
    Undertow.builder(); // loads, before the thread starts, classes that read files
    loadClass("org.xnio.channels.Channels");
    CountDownLatch started = new CountDownLatch(1);
    XnioWorker worker = Xnio.getInstance().createWorker(workerOptions());
    worker
        .getIoThread()
        .execute(
            () -> {
              try {
                task.accept(new IoThread(worker, buffers));
              } catch (RuntimeException e) {
                onFailure.accept(e);
              }
              started.countDown();
            });
    started.await();
  }

  /** Loads a class that opens a file when it is loaded, which must not fail later for good. */
  private static void loadClass(String name) {
    try {
      Class.forName(name);
    } catch (ClassNotFoundException e) {
      throw new IllegalStateException(e);
    }
  }

  private static OptionMap workerOptions() {
    return OptionMap.builder()
        .set(Options.WORKER_NAME, "windbend")
        .set(Options.WORKER_IO_THREADS, 1)
        .set(Options.WORKER_TASK_CORE_THREADS, 1)
        .set(Options.WORKER_TASK_MAX_THREADS, 1)
        .getMap();
  }

  XnioEventLoop loop() {
    return loop;
  }

  HttpClient httpClient() {
    return httpClient;
  }

  /**
   * Listens on an address and handles its requests on this thread.
   *
   * @param address host and port; port 0 selects a free port
   * @return the address that the server listens on
   */
  InetSocketAddress listen(String address, RequestHandler handler, HttpServerMonitor monitor) {
    return HttpServer.listen(worker, buffers, address, handler, monitor);
  }
}
