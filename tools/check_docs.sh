#!/usr/bin/env bash
# Checks that what the Markdown pages name is there: README.md, DEVELOPERS.md, docs/**.md and tests/**/README.md.
# Prints a line `PAGE:LINE: kind 'NAME' what is missing` for each that is not. Pages of journal/ are not read.
#
# Usage: tools/check_docs.sh [ROOT]      ROOT: the tree to check, the one of this script by default
# Exit status: 0 if nothing is missing, 1 if something is.
#
# Links: the target of each relative [text](target), without its #anchor, must exist.
# Code spans (`...` within one line, outside fenced blocks) are checked by the first form below that fits:
#   outside        begins with `../`, `-` or a build folder `target/`, or holds `://`: not of this tree, not checked.
#   API path       a word /v1/...: must occur in libs, apps or api (* as the end of a word stands for any rest).
#   command        `zinccleat VERB`: the verb must occur quoted in apps/zinccleat; after `runbook`, a name in lower
#                  case must be a file of runbooks/.
#   file: names    `file.cpp: name, name`: the file must exist, and each name (the part after the last ::) must occur
#                  in it as a whole word.
#   path           the first word holds a slash, or ends in an extension that files here have. It must be a file or
#                  folder of the tree, or the end of one's path (`core.cpp`, `controller/core.cpp`). Without an
#                  extension the folders include/ and src/ may be left out: `balancing/budget`. * matches as in a shell.
#   test           `Suite.Case`, both from capital letters: must match TEST, TEST_F or TEST_P in tests/*.cpp; * as in a
#                  shell, ... at the end for any rest. `Case...` alone must begin a case of some suite. Names in
#                  capital letters only (SUITE.CASE) are placeholders.
#   header         `X-Name`: must occur in libs, apps, api or tests, in whatever case.
#   identifier     one word with a capital letter or _ inside, or of the form Type::name, name() or name(arguments):
#                  the last identifier must occur as a whole word in libs, apps, tests, tools, api, deploy, runbooks,
#                  .ci or CMakeLists.txt. Names of ctest entries are found this way too.
# Other spans (plain lower-case words, shell commands, JSON) are not checked.
# Build folders (with a CMakeCache.txt) do not count as part of the tree. Needs perl-base alone.
# Besides, each pattern of `real_time_cases` in CMakeLists.txt must match a test.
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
exec perl - << 'PERL'
use strict;
use warnings FATAL => "all";

# Not File::Find: only perl-base is on every Debian system.
my @listed = map { s{^\./}{}r } split /\n/, `find . -mindepth 1 -path ./.git -prune -o -print`;
my @build_folders = map { m{^(.+)/CMakeCache\.txt$} ? $1 : () } @listed;
my (@files, %exists);
for my $path (@listed) {
  next if grep { $path eq $_ || index($path, "$_/") == 0 } @build_folders;
  next if $path =~ m{^journal/};
  $exists{$path} = 1;
  push @files, $path if !-d $path;
}
my %extensions = map { /\.([a-z]\w*)$/ ? ($1 => 1) : () } @files;
my %optional = ('KNOWN-RED.txt' => 1);  # there only while a test is known to fail

sub slurp { my ($path) = @_; open my $in, '<', $path or die "$path: $!"; local $/; my $text = <$in>; return $text // ''; }
my %text;
sub text_of { my ($path) = @_; return $text{$path} //= slurp($path); }
sub sources { my ($pattern) = @_; return grep { m{$pattern} } @files; }
sub words_of { my %words; for my $path (@_) { $words{$_} = 1 for text_of($path) =~ /\w+/g; } return %words; }

my @code = sources(qr{^(libs|apps|tests|tools|api|deploy|runbooks|\.ci)/|^CMakeLists\.txt$});
@code = grep { !m{\.md$|/corpus/} && $_ !~ m{^(tools/check_docs\.sh|tests/check_docs_test\.sh)$} } @code;
my %words = words_of(@code);
my $interface = join "\n", map { text_of($_) } sources(qr{^(libs|apps|api)/});
my $headers = lc join "\n", map { text_of($_) } sources(qr{^(libs|apps|api|tests)/.*(?<!\.md)$});
my $command_line = join "\n", map { text_of($_) } sources(qr{^apps/});
my @tests;
for my $path (sources(qr{^tests/[^/]+\.cpp$})) {
  my $source = text_of($path);
  push @tests, "$1.$2" while $source =~ /^\s*TEST(?:_F|_P)?\(\s*(\w+),\s*(\w+)/mg;
}

sub glob_pattern {
  my ($glob) = @_;
  my $pattern = join '[^/]*', map { quotemeta } split /\*/, $glob, -1;
  return $pattern;
}
sub find_paths {
  my ($path) = @_;
  $path =~ s{/$}{};
  my $pattern = glob_pattern($path);
  my @found = grep { m{(^|/)$pattern$} } keys %exists;
  return @found if @found || $path !~ m{^([^/]+)/(.+)$};
  my ($library, $rest) = (glob_pattern($1), glob_pattern($2));
  my $ending = $path =~ m{\.\w+$} ? "" : "\\.\\w+";
  return grep { m{^libs/$library/(src|include/$library)/$rest$ending$} } @files;
}
sub find_test {
  my ($name) = @_;
  my $pattern = glob_pattern($name =~ s/\.\.\.$/*/r);
  return scalar grep { /^$pattern$/ } @tests;
}
sub find_case { my ($case) = @_; return find_test("*.$case"); }

my $missing = 0;
sub report { my ($where, $kind, $name, $what) = @_; print "$where: $kind '$name' $what\n"; $missing++; }

sub check_span {
  my ($where, $span) = @_;
  return if $span =~ m{^(\.\./|-|target/)|://};
  if ($span =~ m{(?:^|\s)(/v1/[\w./*-]+)}) {
    my $path = $1;
    my $pattern = $path =~ s{\*$}{}r;
    report($where, q(API path), $path, 'does not occur in libs, apps or api') if index($interface, $pattern) < 0;
    return;
  }
  if ($span =~ /^zinccleat (\S+)(?: ([a-z][a-z-]+))?/) {
    my ($verb, $runbook) = ($1, $2);
    my $known = $verb !~ m{^[a-z]} || index($command_line, qq("$verb")) >= 0;
    report($where, "command", $verb, "is none of apps/zinccleat") if !$known;
    my $given = $verb eq "runbook" && defined $runbook;
    report($where, "runbook", $runbook, "is not in runbooks/") if $given && !$exists{"runbooks/$runbook.run"};
    return;
  }
  if ($span =~ m{^([\w./*-]+\.(?:cpp|hpp)): (.+)$}) {
    my ($file, $names) = ($1, $2);
    my @found = find_paths($file);
    return report($where, 'file', $file, 'does not exist') if !@found;
    my %in_file = words_of(@found);
    for my $name (split /,\s*/, $names) {
      my ($last) = $name =~ /(\w+)\W*$/;
      report($where, 'identifier', $name, "does not occur in $file") if defined $last && !$in_file{$last};
    }
    return;
  }
  my ($first) = split ' ', $span;
  return if !defined $first;
  my $is_path = $first =~ m{^[\w.*-]+(/[\w.*-]+)+/?$|^[\w.*-]+/$};
  my $is_file = $first =~ m{^[\w.*-]+\.([a-z]\w*)$} && $extensions{$1};
  if ($is_path || $is_file) {
    report($where, 'path', $first, 'does not exist') if !$optional{$first} && !find_paths($first);
    return;
  }
  return if $span =~ /\s/ && $span !~ /^[\w:]+\(.*\)$/;
  return if $span =~ /^[A-Z_]+\.[A-Z_]+$/;
  if ($span =~ /^[A-Z][\w*]*\.(?:[A-Z]\w*)?(?:\*|\.\.\.)?[\w*]*$/ && $span !~ /^[A-Z]\w*\.\.\.$/) {
    report($where, 'test', $span, 'is not in tests/*.cpp') if !find_test($span);
    return;
  }
  if ($span =~ m{^[A-Z]\w*\.\.\.$}) {
    report($where, 'test', $span, 'begins no case in tests/*.cpp') if !find_case($span);
    return;
  }
  if ($span =~ /^X-[\w-]+$/) {
    report($where, 'header', $span, 'does not occur in libs, apps, api or tests') if index($headers, lc $span) < 0;
    return;
  }
  if (my ($last) = $span =~ m{^(?:\w+::)*(\w+)(?:\(.*\))?$}) {
    my $is_name = $span =~ m{::|\(|[a-z0-9][A-Z]|\w_\w};
    report($where, 'identifier', $span, 'does not occur in libs, apps, tests or tools') if $is_name && !$words{$last};
  }
}

sub check_link {
  my ($where, $page, $target) = @_;
  return if $target =~ m{^(\w+:|#)};
  my $path = $target =~ s/#.*//r;
  my $folder = $page =~ m{^(.*)/} ? $1 : '.';
  report($where, 'link', $target, 'does not exist') if !-e "$folder/$path";
}

for my $page (sort(sources(qr{^(README\.md|DEVELOPERS\.md|docs/.*\.md|tests/(.*/)?README\.md)$}))) {
  my ($line, $fenced) = (0, 0);
  for my $content (split /\n/, text_of($page)) {
    $line++;
    if ($content =~ /^\s*```/) { $fenced = !$fenced; next; }
    next if $fenced;
    check_link("$page:$line", $page, $1) while $content =~ /\]\(([^)\s]+)\)/g;
    check_span("$page:$line", $1) while $content =~ /`([^`]+)`/g;
  }
}
if (-e 'CMakeLists.txt' && text_of('CMakeLists.txt') =~ /real_time_cases "([^"]+)"/) {
  for my $pattern (split /:/, $1) {
    report('CMakeLists.txt', 'test', $pattern, 'of real_time_cases is not in tests/*.cpp') if !find_test($pattern);
  }
}
print "check_docs: $missing missing\n" if $missing;
exit($missing ? 1 : 0);
PERL
