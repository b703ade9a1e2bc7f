#!/usr/bin/env bash
# Fails if a withdrawn word of docs/glossary.md comes back as a part of an identifier or of a file name in libs, apps or
# tests. Usage: tools/check_names.sh [ROOT]
#
# A withdrawn word is a word in the glossary's first column, in backticks. Identifiers are split at capitals, digits and
# underscores, so `heldDigest` has the words "held" and "digest"; `withheld` and the text of strings and comments do not
# count. An exception is a line `PATH WORD REASON` of tools/check_names_exceptions.txt (PATH: a file or a folder ending
# in a slash); one that excuses nothing fails as well, so the list can only shrink.
set -euo pipefail
root=${1:-$(dirname "$0")/..}
cd "$root"
exec perl -e '
use strict; use warnings;
my (%withdrawn, @exceptions, $failed);
open(my $glossary, "<", "docs/glossary.md") or die "check_names: no docs/glossary.md\n";
while (<$glossary>) {
  next unless /^\| (`[^|]*`) \|/;
  my $cell = $1;
  $withdrawn{$_} = 1 for $cell =~ /`([a-z]+)`/g;
}
die "check_names: no withdrawn words in docs/glossary.md\n" unless %withdrawn;
if (open(my $list, "<", "tools/check_names_exceptions.txt")) {
  while (<$list>) {
    next if /^\s*(#|$)/;
    /^(\S+)\s+([a-z]+)\s+(\S.*)$/ or die "check_names: exceptions line $.: PATH WORD REASON expected\n";
    push @exceptions, {path => $1, word => $2, line => $., used => 0};
  }
}
sub words { map { lc } map { /[A-Z]?[a-z]+|[A-Z]+(?![a-z])/g } @_ }
sub excused {
  my ($file, $word) = @_;
  for my $exception (@exceptions) {
    my $path = $exception->{path};
    my $fits = $path =~ m{/$} ? index($file, $path) == 0 : $file eq $path;
    next unless $fits && $exception->{word} eq $word;
    return $exception->{used} = 1;
  }
  return 0;
}
sub report {
  my ($file, $where, $name) = @_;
  for my $word (words($name)) {
    next if !$withdrawn{$word} || excused($file, $word);
    print "$where: \"$word\" in \"$name\" is withdrawn, see docs/glossary.md\n";
    $failed = 1;
  }
}
chomp(my @files = `find libs apps tests -name "*.cpp" -o -name "*.hpp" | sort`);
for my $file (@files) {
  report($file, $file, $file);
  open(my $source, "<", $file) or die "$file: $!\n";
  my $text = do { local $/; <$source> };
  # Comments and strings give way to as many line ends as they hold.
  $text =~ s{//[^\n]*|/\*.*?\*/|R"(\w*)\(.*?\)\1"|"(?:\\.|[^"\\\n])*"}{ my $gap = $&; $gap =~ tr/\n//cd; $gap }gse;
  my $number = 0;
  for my $line (split /\n/, $text) {
    ++$number;
    report($file, "$file:$number", $1) while $line =~ /\b(?!\d)(\w+)/g;
  }
}
for my $exception (@exceptions) {
  next if $exception->{used};
  print "tools/check_names_exceptions.txt:$exception->{line}: excuses nothing\n";
  $failed = 1;
}
exit($failed ? 1 : 0);
'
