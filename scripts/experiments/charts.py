"""Charts by second as inline SVG, without a plotting library."""

import dataclasses
import html

WIDTH = 1040
LEFT = 64
RIGHT = 16
TOP = 26
BOTTOM = 30
COLOURS = ["#3b6fb6", "#e0862e", "#4f9d69", "#b5485a", "#8566a8", "#2f9aa8", "#c4a23a", "#7b8794", "#c76d9e", "#5b7d2f", "#a05a2c", "#444c58"]


@dataclasses.dataclass(frozen=True)
class Marker:
    """Describes a vertical line with a label."""

    second: float
    text: str
    colour: str


@dataclasses.dataclass(frozen=True)
class Frame:
    """Holds the settings that all charts of a report share."""

    seconds: int
    overload: tuple  # (from, to) in seconds, or None
    label: str  # text in the band that marks the overload


def nice_ceiling(value):
    """Returns a round number not below a value."""
    if value <= 0:
        return 1
    power = 10 ** (len(str(int(value))) - 1)
    return next(step * power for step in (1, 1.5, 2, 3, 4, 5, 6, 8, 10) if step * power >= value)


def colours_of(names):
    """Returns {name: colour}, the same for the same names."""
    return {name: COLOURS[index % len(COLOURS)] for index, name in enumerate(names)}


class Chart:
    """Draws one chart of values by second."""

    def __init__(self, frame, height, maximum, title):
        self.frame, self.height, self.maximum = frame, height, maximum
        self.parts = [f'<text x="{LEFT}" y="14" class="title">{html.escape(title)}</text>']
        if frame.overload:
            left, right = (self.x(second) for second in frame.overload)
            self.parts.append(f'<rect x="{left:.1f}" y="{TOP}" width="{right - left:.1f}" height="{self.bottom() - TOP}" class="overload"/>')
            self.parts.append(f'<text x="{left + 5:.1f}" y="{TOP + 13}" class="overload-word">{html.escape(frame.label)}</text>')
        self.draw_axes()

    def x(self, second):
        return LEFT + second / self.frame.seconds * (WIDTH - LEFT - RIGHT)

    def y(self, value):
        return self.bottom() - min(value / self.maximum, 1.0) * (self.bottom() - TOP)

    def bottom(self):
        return self.height - BOTTOM

    def draw_axes(self):
        for step in range(5):
            value = self.maximum * step / 4
            self.parts.append(f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{self.y(value):.1f}" y2="{self.y(value):.1f}" class="grid"/>')
            self.parts.append(f'<text x="{LEFT - 8}" y="{self.y(value) + 4:.1f}" class="axis" text-anchor="end">{value:g}</text>')
        spacing = next(step for step in (1, 2, 5, 10, 20, 60, 120, 600, 3600) if self.frame.seconds / step <= 14)
        for second in range(0, self.frame.seconds + 1, spacing):
            self.parts.append(f'<text x="{self.x(second):.1f}" y="{self.bottom() + 17}" class="axis" text-anchor="middle">{second} s</text>')

    def draw_areas(self, series, colours):
        """Draws {name: values by second} as stacked areas."""
        floor = [0.0] * self.frame.seconds
        for name, values in series.items():
            ceiling = [low + value for low, value in zip(floor, values)]
            upper = [f"{self.x(second + 0.5):.1f},{self.y(value):.1f}" for second, value in enumerate(ceiling)]
            lower = [f"{self.x(second + 0.5):.1f},{self.y(value):.1f}" for second, value in enumerate(floor)]
            points = " ".join(upper + lower[::-1])
            self.parts.append(f'<polygon points="{points}" fill="{colours[name]}" fill-opacity="0.85"><title>{html.escape(name)}</title></polygon>')
            floor = ceiling

    def draw_bars(self, series, colours):
        """Draws {name: values by second} as stacked bars."""
        floor = [0.0] * self.frame.seconds
        width = (self.x(1) - self.x(0)) * 0.8
        for name, values in series.items():
            for second, value in enumerate(values):
                if value > 0:
                    top, low = self.y(floor[second] + value), self.y(floor[second])
                    self.parts.append(f'<rect x="{self.x(second + 0.1):.1f}" y="{top:.1f}" width="{width:.1f}" height="{low - top:.1f}" '
                                      f'fill="{colours[name]}"><title>{html.escape(name)}: {value:g} in second {second}</title></rect>')
            floor = [low + value for low, value in zip(floor, values)]

    def draw_line(self, values, style):
        points = " ".join(f"{self.x(second + 0.5):.1f},{self.y(value):.1f}" for second, value in enumerate(values))
        self.parts.append(f'<polyline points="{points}" class="{style}"/>')

    def draw_marker(self, marker, row=0):
        place = self.x(marker.second)
        beyond_middle = place > WIDTH * 0.7
        anchor, shift = ("end", -5) if beyond_middle else ("start", 5)
        self.parts.append(f'<line x1="{place:.1f}" x2="{place:.1f}" y1="{TOP}" y2="{self.bottom()}" stroke="{marker.colour}" class="marker"/>')
        self.parts.append(f'<text x="{place + shift:.1f}" y="{TOP + 28 + 14 * row}" fill="{marker.colour}" class="marker-word" '
                          f'text-anchor="{anchor}">{html.escape(marker.text)}</text>')

    def to_svg(self):
        return f'<svg viewBox="0 0 {WIDTH} {self.height}" role="img">{"".join(self.parts)}</svg>'


def legend(colours):
    """Returns a line of HTML with a colour swatch for each name."""
    swatches = (f'<span><i style="background:{colour}"></i>{html.escape(name)}</span>' for name, colour in colours.items())
    return f'<p class="legend">{"".join(swatches)}</p>'
