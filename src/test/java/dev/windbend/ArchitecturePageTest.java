package dev.windbend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the names of classes and packages in docs/architecture.md against the main sources. */
class ArchitecturePageTest {
  private static final Path PAGE = Path.of("docs/architecture.md");
  private static final Path SOURCES = Path.of("src/main/java/dev/windbend");
  private static final Pattern CLASS_NAME = Pattern.compile("`([A-Z][a-z][A-Za-z]+)`");
  private static final Pattern PACKAGE_ROW = Pattern.compile("(?m)^\\| `([a-z]+)` \\|");

  @Test
  void namesOnlyExistingClasses() throws IOException {
    Set<String> namedClasses = matches(CLASS_NAME);
    assertThat(namedClasses).hasSizeGreaterThan(20).isSubsetOf(classNames());
  }

  @Test
  void listsAllPackagesAndNoOthers() throws IOException {
    assertThat(matches(PACKAGE_ROW)).isEqualTo(packageNames());
  }

  private static Set<String> matches(Pattern pattern) throws IOException {
    Set<String> found = new TreeSet<>();
    Matcher matcher = pattern.matcher(Files.readString(PAGE));
    while (matcher.find()) {
      found.add(matcher.group(1));
    }
    return found;
  }

  private static Set<String> classNames() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith(".java"))
          .map(name -> name.substring(0, name.length() - ".java".length()))
          .collect(Collectors.toSet());
    }
  }

  private static Set<String> packageNames() throws IOException {
    try (Stream<Path> entries = Files.list(SOURCES)) {
      return entries
          .filter(Files::isDirectory)
          .map(directory -> directory.getFileName().toString())
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }
}
